// Command tarragondeal-node is the router's process on an entry VM of the
// users' platform. It links nothing of the operators' tools.
//
// # Usage
//
//	TARRAGONDEAL_CONFIG=/etc/tarragondeal/node.toml tarragondeal-node
//
// The exit code is 0 after a stop in order, 1 when the node could not run on,
// and 2 when the command line or the settings are wrong.
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
	// gcPercent trades processor time for memory: the heap is small.
	gcPercent = 60
	// memoryShare is the share of the VM's memory from which the collector
	// works harder.
	memoryShare = 0.7
)

func main() {
	fs := flag.NewFlagSet("tarragondeal-node", flag.ContinueOnError)
	path := fs.String("settings", os.Getenv(platform.SettingsVariable), "settings file; else "+platform.SettingsVariable)
	root := &ffcli.Command{
		Name: "tarragondeal-node", ShortUsage: "tarragondeal-node [-settings FILE]",
		ShortHelp: "Serve callers on this VM until told to stop.", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return &usageError{text: fmt.Sprintf("it takes no arguments, found %q", args[0])}
			}
			return serve(*path)
		},
	}
	os.Exit(code(root.ParseAndRun(context.Background(), os.Args[1:])))
}

// usageError is a command line that asks for nothing that can be done.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func code(err error) int {
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
	debug.SetMemoryLimit(int64(memoryShare * float64(vm.MemoryBytes)))
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
