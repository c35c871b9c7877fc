package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal/internal/node/tdnode"
	"tarragondeal/internal/node/tdsettings"
)

func (t *tool) serve() *ffcli.Command {
	var s tdsettings.Settings
	fs := t.flags("serve")
	s.Register(fs)
	return &ffcli.Command{
		Name: "serve", ShortUsage: "tarragondeal serve [flags]",
		ShortHelp: "Serve callers on this VM until told to stop.",
		LongHelp: "Settings are read from flags, from environment variables such as TARRAGONDEAL_LISTEN_CALLERS\n" +
			"and from the YAML file that -config names, in this order of precedence.\n\n" +
			example("tarragondeal serve -config node1.yaml"),
		FlagSet: fs,
		Options: s.Options(fs),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("serve takes no arguments, found %q", args[0])
			}
			n, err := tdnode.New(s, t.err)
			if err != nil {
				return err
			}
			return n.Run(ctx)
		},
	}
}
