// Command tarragondeal-measure runs scenarios of load and faults against real
// node processes and stand-ins, and prints measurements and violated guarantees.
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
)

// Exit codes.
const (
	exitOK         = 0
	exitError      = 1
	exitUsage      = 2
	exitViolations = 3 // A guarantee was violated.
)

// violationsError reports the number of violated guarantees.
type violationsError struct{ n int }

func (e *violationsError) Error() string { return fmt.Sprintf("%d violated guarantees", e.n) }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "tarragondeal-measure <command> [flags]",
		FlagSet:     flag.NewFlagSet("tarragondeal-measure", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{compareCommand(), soakCommand(), capacityCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	var violations *violationsError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &violations):
		fmt.Fprintln(os.Stderr, "tarragondeal-measure:", err)
		return exitViolations
	default:
		fmt.Fprintln(os.Stderr, "tarragondeal-measure:", err)
		return exitError
	}
}
