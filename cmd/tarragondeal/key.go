package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdoperator"
)

func (t *tool) key() *ffcli.Command {
	return t.group("tarragondeal key", "Issue, withdraw and list callers' keys.",
		t.keyIssue(), t.keyWithdraw(), t.keyList())
}

type issueFlags struct {
	changeFlags
	name, workspace string
	limits          tarragondeal.Limits
}

func (t *tool) keyIssue() *ffcli.Command {
	var f issueFlags
	fs := t.flags("issue")
	f.register(fs)
	fs.StringVar(&f.name, "name", "", "name of the new key")
	fs.StringVar(&f.workspace, "workspace", "", "workspace whose requests it is for")
	fs.Float64Var(&f.limits.RequestsPerSecond, "requestsPerSecond", 0, "limit of this key; 0 for none")
	fs.Float64Var(&f.limits.TokensPerSecond, "tokensPerSecond", 0, "limit of this key; 0 for none")
	fs.IntVar(&f.limits.Concurrent, "concurrent", 0, "limit of this key; 0 for none")
	return &ffcli.Command{
		Name: "issue", ShortUsage: "tarragondeal key issue -name NAME -workspace WORKSPACE [flags]",
		ShortHelp: "Issue a key. Its text is printed once and kept nowhere.",
		LongHelp: "The key is made here, and only its salted digest leaves this machine. The text goes to the\n" +
			"standard output alone, everything else to the standard error.\n\n" +
			example("tarragondeal key issue -name depot -workspace roadside > depot.key"),
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if f.name == "" || f.workspace == "" {
				return usagef("give -name and -workspace")
			}
			return t.issue(ctx, &f)
		},
	}
}

func (t *tool) issue(ctx context.Context, f *issueFlags) error {
	c, ctx, cancel, err := t.client(ctx, &f.nodeFlags, f.wait)
	if err != nil {
		return err
	}
	defer cancel()
	text, key, err := tdkey.Issue(f.name, f.workspace)
	if err != nil {
		return err
	}
	key.Limits = f.limits
	res, err := c.Issue(ctx, tdoperator.NewKey{Key: key, Note: f.note, Wait: tarragondeal.Duration(f.wait)})
	if err != nil {
		return err
	}
	t.printf("%s\n", text)
	if len(res.Lagging) > 0 {
		return &laggingError{version: res.Version, nodes: res.Lagging}
	}
	t.warnf("key %s is in force at all nodes with version %d; this is the only copy of its text\n", f.name, res.Version)
	return nil
}

func (t *tool) keyWithdraw() *ffcli.Command {
	var f changeFlags
	fs := t.flags("withdraw")
	f.register(fs)
	return &ffcli.Command{
		Name: "withdraw", ShortUsage: "tarragondeal key withdraw [flags] NAME",
		ShortHelp: "Withdraw a key. It can't be given back; issue a new one.",
		LongHelp:  example("tarragondeal key withdraw -note 'lost laptop' depot"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("name the one key to withdraw")
			}
			c, ctx, cancel, err := t.client(ctx, &f.nodeFlags, f.wait)
			if err != nil {
				return err
			}
			defer cancel()
			res, err := c.Withdraw(ctx, args[0], f.note, f.wait)
			if err != nil {
				return err
			}
			if !res.Changed {
				t.printf("key %s was withdrawn before\n", args[0])
			}
			return t.inForce(res)
		},
	}
}

func (t *tool) keyList() *ffcli.Command {
	var f nodeFlags
	fs := t.flags("list")
	f.register(fs)
	workspace := fs.String("workspace", "", "only the keys of this workspace")
	return &ffcli.Command{
		Name: "list", ShortUsage: "tarragondeal key list [flags]",
		ShortHelp: "List the keys by name. Neither texts nor digests are shown.",
		LongHelp:  example("tarragondeal key list -workspace roadside"),
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			c, ctx, cancel, err := t.client(ctx, &f, 0)
			if err != nil {
				return err
			}
			defer cancel()
			list, err := c.Keys(ctx)
			if err != nil {
				return err
			}
			rows := [][]any{{"NAME", "WORKSPACE", "STATE"}}
			for _, k := range list.Keys {
				if *workspace == "" || k.Workspace == *workspace {
					rows = append(rows, []any{k.Name, k.Workspace, keyState(k)})
				}
			}
			return t.table(rows)
		},
	}
}

func keyState(k tdoperator.KeyInfo) string {
	if k.Withdrawn {
		return "withdrawn"
	}
	return "in use"
}

func cell(w io.Writer, v any) { _, _ = fmt.Fprint(w, v) }
