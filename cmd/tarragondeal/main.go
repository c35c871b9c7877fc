// Command tarragondeal runs a node of the router on an entry VM and provides the
// operators' commands.
//
// # Usage
//
//	tarragondeal serve -config node1.yaml
//	tarragondeal config apply -node 10.0.0.5:8082 -note "more benches" set.yaml
//	tarragondeal key issue -name depot -workspace roadside
//
// Run a command with -h for its help. The exit codes are listed in exit.go.
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

// tool holds the streams and the environment that the commands use.
type tool struct {
	in       io.Reader
	out      io.Writer
	err      io.Writer
	getenv   func(string) string
	helpText strings.Builder // Output of the flag package.
}

func (t *tool) run(ctx context.Context, args []string) int {
	root := t.root()
	if err := root.Parse(args); err != nil {
		return t.parseExitCode(err)
	}
	err := root.Run(ctx)
	if errors.Is(err, flag.ErrHelp) { // A command that needs a subcommand.
		_, _ = fmt.Fprint(t.err, t.helpText.String())
		return exitUsage
	}
	return t.exitCode(err)
}

// parseExitCode returns the exit code for an error in parsing the command line.
// It prints the help text or the error.
func (t *tool) parseExitCode(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		_, _ = fmt.Fprint(t.out, t.helpText.String())
		return exitOK
	}
	_, _ = fmt.Fprintln(t.err, errorMessage(err))
	return exitUsage
}

func (t *tool) root() *ffcli.Command {
	return t.group("tarragondeal", "Run the router for language-model traffic, and operate it.",
		t.quickstart(), t.serve(), t.config(), t.key(), t.entry(), t.status(), t.explain(), t.report())
}

// group returns a command that has only subcommands.
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

// flags returns a flag set that prints to helpText. Whether that goes to the
// standard output or the standard error depends on the error of parsing.
func (t *tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&t.helpText)
	return fs
}

func (t *tool) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format, args...)
}

func (t *tool) warnf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.err, format, args...)
}

// example returns the EXAMPLE section of a help text.
func example(lines ...string) string {
	return "EXAMPLE\n  " + strings.Join(lines, "\n  ")
}
