package main

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal/internal/account/tdburn"
	"tarragondeal/internal/report/tdreport"
)

func (t *tool) report() *ffcli.Command {
	var f nodeFlags
	fs := t.flags("report")
	f.register(fs)
	format := fs.String("format", string(tdreport.FormatText), "text, json or html")
	return &ffcli.Command{
		Name: "report", ShortUsage: "tarragondeal report [flags]",
		ShortHelp: "Show how fast the request classes burn their error budgets, merged over all nodes.",
		LongHelp:  example("tarragondeal report", "tarragondeal report -format html > burn.html"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			if err := tdreport.Format(*format).Check(); err != nil {
				return usagef("-format: %v", err)
			}
			c, ctx, cancel, err := t.client(ctx, &f, 0)
			if err != nil {
				return err
			}
			defer cancel()
			var r tdburn.Report
			if err := c.Report(ctx, &r); err != nil {
				return err
			}
			return tdreport.Write(t.out, tdreport.Format(*format), &r)
		},
	}
}
