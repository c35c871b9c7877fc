package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal/internal/node/tdquickstart"
)

func (t *tool) quickstart() *ffcli.Command {
	fs := t.flags("quickstart")
	stay := fs.Bool("stay", false, "keep everything running after the last step and print commands to run by hand")
	verbose := fs.Bool("verbose", false, "print the nodes' logs")
	return &ffcli.Command{
		Name: "quickstart", ShortUsage: "tarragondeal quickstart [flags]",
		ShortHelp: "Demonstrate the router in this process, with stand-ins for the platform and the backend servers.",
		LongHelp:  example("go run ./cmd/tarragondeal quickstart", "go run ./cmd/tarragondeal quickstart -stay"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			logs := io.Discard
			if *verbose {
				logs = t.err
			}
			return tdquickstart.Run(ctx, tdquickstart.Options{Out: t.out, Logs: logs, Stay: *stay})
		},
	}
}
