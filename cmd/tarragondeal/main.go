// Command tarragondeal is the router: it serves callers on an entry VM, and
// it is the operators' tool.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal/internal/node/tdnode"
	"tarragondeal/internal/node/tdsettings"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1 // The command failed.
	exitUsage = 2 // The command line or the settings are wrong.
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "tarragondeal <command> [flags]",
		FlagSet:     flag.NewFlagSet("tarragondeal", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{serveCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "tarragondeal:", err)
		return exitError
	}
}

func serveCommand() *ffcli.Command {
	var s tdsettings.Settings
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	s.Register(fs)
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "tarragondeal serve [flags]",
		ShortHelp:  "Serve callers on this VM until told to stop.",
		FlagSet:    fs,
		Options:    s.Options(fs),
		Exec: func(ctx context.Context, _ []string) error {
			n, err := tdnode.New(s, os.Stderr)
			if err != nil {
				return err
			}
			return n.Run(ctx)
		},
	}
}
