package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal/internal/entry/tdoperator"
)

func (t *tool) status() *ffcli.Command {
	var f nodeFlags
	fs := t.flags("status")
	f.register(fs)
	format := fs.String("format", "text", "text or json")
	return &ffcli.Command{
		Name: "status", ShortUsage: "tarragondeal status [flags]",
		ShortHelp: "Show nodes, versions, duties and backend servers as known to one node.",
		LongHelp:  example("tarragondeal status -node 10.0.0.5:8082 -tokenFile operator.token"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *format != "text" && *format != "json" {
				return usagef("-format: expected text or json, found %q", *format)
			}
			c, ctx, cancel, err := t.client(ctx, &f, 0)
			if err != nil {
				return err
			}
			defer cancel()
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			if *format == "json" {
				return t.printJSON(s)
			}
			return t.printStatus(s)
		},
	}
}

func (t *tool) printStatus(s tdoperator.Status) error {
	t.printf("version %d is in force at %s\n\n", s.Version, s.Self)
	nodes := [][]any{{"NODE", "DATA CENTRE", "STATE", "VERSION", "LOAD", "ENTRY"}}
	for _, n := range s.Nodes {
		nodes = append(nodes, []any{n.Node, n.DataCentre, n.State, n.Version, fmt.Sprintf("%.0f%%", 100*n.Load), n.Entry})
	}
	if err := t.printTable(nodes); err != nil {
		return err
	}
	t.printf("\n")
	servers := [][]any{{"SERVER POOL", "DATA CENTRE", "LIVE", "LEAVING"}}
	for _, g := range s.Servers {
		servers = append(servers, []any{g.Pool, g.DataCentre, g.Live, g.Leaving})
	}
	if err := t.printTable(servers); err != nil {
		return err
	}
	t.printf("\n")
	if len(s.Duties) == 0 && s.DutiesError == "" {
		t.printf("no duty is held by lease\n")
		return nil
	}
	duties := [][]any{{"DUTY", "HELD BY"}}
	for _, d := range s.Duties {
		duties = append(duties, []any{d.Name, d.Holder})
	}
	if err := t.printTable(duties); err != nil {
		return err
	}
	if s.DutiesError != "" {
		t.warnf("the duties can't be read: %s\n", s.DutiesError)
	}
	return nil
}
