// Command tarragondeal is the router: it serves callers on an entry VM, and
// it is the operators' tool.
//
// # Usage
//
//	tarragondeal serve -config node1.yaml
//	tarragondeal config apply -node 10.0.0.5:8082 -note "more benches" set.yaml
//	tarragondeal key issue -name depot -workspace roadside
//
// Every command explains itself with -h. The exit codes are in exit.go.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	t := &tool{in: os.Stdin, out: os.Stdout, err: os.Stderr, getenv: os.Getenv}
	os.Exit(t.run(ctx, os.Args[1:]))
}

// tool is the command line and what it reads and writes.
type tool struct {
	in     io.Reader
	out    io.Writer
	err    io.Writer
	getenv func(string) string
	help   strings.Builder // What the flag package prints.
}

func (t *tool) run(ctx context.Context, args []string) int {
	root := t.root()
	if err := root.Parse(args); err != nil {
		return t.parsed(err)
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) { // A command that needs a subcommand.
		_, _ = fmt.Fprint(t.err, t.help.String())
		return exitUsage
	}
	return t.ended(err)
}

// parsed returns the exit code of a command line that was not run.
func (t *tool) parsed(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprint(t.out, t.help.String())
		return exitOK
	}
	_, _ = fmt.Fprintln(t.err, message(err))
	return exitUsage
}

func (t *tool) root() *ffcli.Command {
	return t.group("tarragondeal", "The router for language-model traffic, and its operators' tool.",
		t.quickstart(), t.serve(), t.config(), t.key(), t.entry(), t.status(), t.report())
}

// group returns a command that only has subcommands.
func (t *tool) group(name, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	short := name[strings.LastIndex(name, " ")+1:]
	return &ffcli.Command{
		Name: short, ShortUsage: name + " <command> [flags]", ShortHelp: help,
		FlagSet: t.flags(short), Subcommands: subcommands,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%s has no command %q; see %s -h", name, args[0], name)
			}
			return flag.ErrHelp
		},
	}
}

// flags returns a flag set whose messages are kept until it is known where
// they belong.
func (t *tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&t.help)
	return fs
}

func (t *tool) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format, args...)
}

func (t *tool) warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.err, format, args...)
}

// example writes the part of a help text that shows how a command is used.
func example(lines ...string) string {
	return "EXAMPLE\n  " + strings.Join(lines, "\n  ")
}
