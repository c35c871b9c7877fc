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
	fs.StringVar(&f.workspace, "workspace", "", "workspace that the key's requests belong to")
	fs.Float64Var(&f.limits.RequestsPerSecond, "requestsPerSecond", 0, "rate limit of this key, in requests per second; 0 for no limit")
	fs.Float64Var(&f.limits.TokensPerSecond, "tokensPerSecond", 0, "rate limit of this key, in tokens per second; 0 for no limit")
	fs.IntVar(&f.limits.Concurrent, "concurrent", 0, "maximum number of concurrent requests of this key; 0 for no limit")
	return &ffcli.Command{
		Name: "issue", ShortUsage: "tarragondeal key issue -name NAME -workspace WORKSPACE [flags]",
		ShortHelp: "Issue a key. Its text is printed once and not stored.",
		LongHelp: "The key is generated locally, and only its salted digest leaves this machine. Only the text\n" +
			"of the key is printed to the standard output, everything else to the standard error.\n\n" +
			example("tarragondeal key issue -name depot -workspace roadside > depot.key"),
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			if f.name == "" || f.workspace == "" {
				return usagef("-name and -workspace are required")
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
		ShortHelp: "Withdraw a key. A withdrawn key can't be restored; issue a new one.",
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
				t.printf("key %s was already withdrawn\n", args[0])
			}
			return t.printResult(res)
		},
	}
}

func (t *tool) keyList() *ffcli.Command {
	var f nodeFlags
	fs := t.flags("list")
	f.register(fs)
	workspace := fs.String("workspace", "", "list only the keys of this workspace")
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
			return t.printTable(rows)
		},
	}
}

func keyState(k tdoperator.KeyInfo) string {
	if k.Withdrawn {
		return "withdrawn"
	}
	return "in use"
}

func writeCell(w io.Writer, v any) { _, _ = fmt.Fprint(w, v) }
