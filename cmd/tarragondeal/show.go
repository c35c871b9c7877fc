package main

import (
	"context"
	"encoding/json"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/object/tdset"
)

func (t *tool) configShow() *ffcli.Command {
	var f nodeFlags
	fs := t.flags("show")
	f.register(fs)
	version := fs.Uint64("version", 0, "version to show; 0 for the one in force")
	format := fs.String("format", "yaml", "yaml or json")
	noKeys := fs.Bool("noKeys", false, "omit the keys; applying the file then leaves the keys unchanged")
	return &ffcli.Command{
		Name: "show", ShortUsage: "tarragondeal config show [flags]",
		ShortHelp: "Show the set in force, or an earlier one.",
		LongHelp:  example("tarragondeal config show > set.yaml", "tarragondeal config show -version 7 -noKeys"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *format != "yaml" && *format != "json" {
				return usagef("-format: expected yaml or json, found %q", *format)
			}
			c, ctx, cancel, err := t.client(ctx, &f, 0)
			if err != nil {
				return err
			}
			defer cancel()
			p, err := fetchSet(ctx, c, tarragondeal.Version(*version))
			if err != nil {
				return err
			}
			if *noKeys {
				p.Set.Keys = nil
			}
			return t.printSet(p, *format)
		},
	}
}

// fetchSet returns the set of a version, or the set in force if v is 0.
func fetchSet(ctx context.Context, c *tdoperator.Client, v tarragondeal.Version) (tdoperator.Published, error) {
	if v == 0 {
		return c.Set(ctx)
	}
	return c.Published(ctx, v)
}

func (t *tool) printSet(p tdoperator.Published, format string) error {
	if format == "json" {
		return t.printJSON(p)
	}
	text, err := tdset.Format(p.Set)
	if err != nil {
		return err
	}
	t.printf(headerFormat+"%s", p.Version, text)
	return nil
}

func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (t *tool) configDiff() *ffcli.Command {
	var f nodeFlags
	fs := t.flags("diff")
	f.register(fs)
	from := fs.Uint64("from", 0, "version to compare with; 0 for the one in force")
	to := fs.Uint64("to", 0, "version to compare when no file is given; 0 for the one in force")
	return &ffcli.Command{
		Name: "diff", ShortUsage: "tarragondeal config diff [flags] [FILE]",
		ShortHelp: "Show the objects that differ between a file and the set in force, or between two versions.",
		LongHelp:  example("tarragondeal config diff set.yaml", "tarragondeal config diff -from 3 -to 5"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 || len(args) == 0 && *to == 0 && *from == 0 {
				return usagef("name one file, or give -from and -to")
			}
			c, ctx, cancel, err := t.client(ctx, &f, 0)
			if err != nil {
				return err
			}
			defer cancel()
			before, err := fetchSet(ctx, c, tarragondeal.Version(*from))
			if err != nil {
				return err
			}
			after, err := t.comparedSet(ctx, c, args, tarragondeal.Version(*to), before)
			if err != nil {
				return err
			}
			t.printChanges(tdset.Diff(before.Set, after))
			return nil
		},
	}
}

// comparedSet returns the set to compare with before: the set in the file that
// args names, or else the set of version v.
func (t *tool) comparedSet(ctx context.Context, c *tdoperator.Client, args []string, v tarragondeal.Version, before tdoperator.Published) (*tarragondeal.Set, error) {
	if len(args) == 0 {
		p, err := fetchSet(ctx, c, v)
		return p.Set, err
	}
	doc, err := t.readSet(args[0])
	if err != nil {
		return nil, err
	}
	t.printFaults(doc)
	if doc.Set.Keys == nil {
		doc.Set.Keys = before.Set.Keys
	}
	return doc.Set, doc.Err()
}

func (t *tool) configHistory() *ffcli.Command {
	var f nodeFlags
	fs := t.flags("history")
	f.register(fs)
	limit := fs.Int("limit", 20, "maximum number of versions to show")
	return &ffcli.Command{
		Name: "history", ShortUsage: "tarragondeal config history [flags]",
		ShortHelp: "Show the published versions, newest first.",
		LongHelp:  example("tarragondeal config history -limit 5"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			c, ctx, cancel, err := t.client(ctx, &f, 0)
			if err != nil {
				return err
			}
			defer cancel()
			list, err := c.History(ctx, *limit)
			if err != nil {
				return err
			}
			rows := [][]any{{"VERSION", "AT", "BY", "NOTE"}}
			for _, p := range list {
				rows = append(rows, []any{p.Version, p.At.UTC().Format(time.RFC3339), p.By, p.Note})
			}
			return t.printTable(rows)
		},
	}
}

// printTable prints rows in aligned columns.
func (t *tool) printTable(rows [][]any) error {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for n, v := range row {
			if n > 0 {
				writeCell(w, "\t")
			}
			writeCell(w, v)
		}
		writeCell(w, "\n")
	}
	return w.Flush()
}
