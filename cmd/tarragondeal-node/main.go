// Command tarragondeal-node runs the router's node process on an entry VM of the
// users' platform. It does not link the operators' tools.
//
// # Usage
//
//	TARRAGONDEAL_CONFIG=/etc/tarragondeal/node.toml tarragondeal-node
//
// The exit code is 0 after an orderly stop, 1 if the node fails, and 2 if the
// command line or the settings are invalid.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal/internal/node/tdvm"
	"tarragondeal/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const (
	// gcPercent trades CPU time for memory, since the heap is small.
	gcPercent = 60
	// memoryLimitShare is the share of the VM's memory that is the soft limit of
	// the Go runtime. Near it garbage collection runs more often.
	memoryLimitShare = 0.7
)

func main() {
	fs := flag.NewFlagSet("tarragondeal-node", flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "settings file; else "+platform.SettingsVariable)
	root := &ffcli.Command{
		Name: "tarragondeal-node", ShortUsage: "tarragondeal-node [-settings FILE]",
		ShortHelp: "Serve callers on this VM until told to stop.", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{text: fmt.Sprintf("unexpected argument %q", args[0])}
			}
			return serve(*path)
		},
	}
	os.Exit(exitCode(root.ParseAndRun(context.Background(), os.Args[1:])))
}

// usageError is an invalid command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func exitCode(err error) int {
	var settings *platform.SettingsError
	var usage *usageError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.As(err, &settings), errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "tarragondeal-node:", err)
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "tarragondeal-node:", err)
	return exitFailed
}

func serve(path string) error {
	vm, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(vm.MemoryBytes)))
	n, err := tdvm.New(vm, os.Stdout)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	n.ReloadOn(hup, path)
	return n.Run(ctx)
}
