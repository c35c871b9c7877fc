// Command tarragondeal-measure runs scenarios of load and faults against real
// node processes and stand-ins, and prints figures and broken promises.
package main

import (
	"context"
	"embed"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tarragondeal/internal/measure/tdresult"
	"tarragondeal/internal/measure/tdrun"
	"tarragondeal/internal/measure/tdscenario"
)

//go:embed scenarios/*.yaml
var scenarios embed.FS

// Exit codes.
const (
	exitOK     = 0
	exitError  = 1
	exitUsage  = 2
	exitBroken = 3 // A promise was broken.
)

// brokenError says that promises were broken.
type brokenError struct{ n int }

func (e *brokenError) Error() string { return fmt.Sprintf("%d broken promises", e.n) }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "tarragondeal-measure <command> [flags]",
		FlagSet:     flag.NewFlagSet("tarragondeal-measure", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{compareCommand(), soakCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	var broken *brokenError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &broken):
		fmt.Fprintln(os.Stderr, "tarragondeal-measure:", err)
		return exitBroken
	default:
		fmt.Fprintln(os.Stderr, "tarragondeal-measure:", err)
		return exitError
	}
}

// options are the flags that all commands share.
type options struct {
	binary  string
	nodeLog string
	dump    string
	args    string
	asJSON  bool
}

func (o *options) register(fs *flag.FlagSet) {
	fs.StringVar(&o.binary, "binary", "", "the product's program; built when not given")
	fs.StringVar(&o.nodeLog, "nodeLog", "", "file for the nodes' log lines")
	fs.StringVar(&o.dump, "dump", "", "file for the last run's history, as JSON")
	fs.StringVar(&o.args, "args", "", "further flags of every node, separated by spaces")
	fs.BoolVar(&o.asJSON, "json", false, "print JSON in place of a table")
}

// prepare returns the program to run and where nodes log to.
func (o *options) prepare(ctx context.Context) (binary string, logTo io.Writer, end func(), err error) {
	logTo, end, binary = io.Discard, func() {}, o.binary
	if o.nodeLog != "" {
		f, err := os.Create(o.nodeLog)
		if err != nil {
			return "", nil, nil, eris.Wrap(err, "flag nodeLog")
		}
		logTo, end = f, func() { _ = f.Close() }
	}
	if binary != "" {
		return binary, logTo, end, nil
	}
	dir, err := os.MkdirTemp("", "tarragondeal")
	if err != nil {
		return "", nil, nil, eris.Wrap(err, "temporary folder")
	}
	closeLog := end
	end = func() { closeLog(); _ = os.RemoveAll(dir) }
	binary = filepath.Join(dir, "tarragondeal")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "tarragondeal/cmd/tarragondeal").CombinedOutput()
	if err != nil {
		end()
		return "", nil, nil, eris.Wrapf(err, "build: %s", out)
	}
	return binary, logTo, end, nil
}

func compareCommand() *ffcli.Command {
	var o options
	fs := flag.NewFlagSet("compare", flag.ContinueOnError)
	o.register(fs)
	names := fs.String("scenario", "steady", "scenarios, separated by commas: built-in names or files")
	policies := fs.String("policy", "owner,roundRobin,leastOutstanding,powerOfTwo", "dispatch policies, separated by commas")
	seed := fs.Uint64("seed", 1, "seed of arrivals and choices")
	return &ffcli.Command{
		Name: "compare", ShortUsage: "tarragondeal-measure compare [flags]",
		ShortHelp: "Run scenarios with several policies, same seed and arrivals.",
		LongHelp:  "Example: tarragondeal-measure compare -scenario overload,straggle -policy owner,roundRobin -seed 7",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			binary, logTo, end, err := o.prepare(ctx)
			if err != nil {
				return err
			}
			defer end()
			var results []tdresult.Result
			for _, name := range strings.Split(*names, ",") {
				s, err := scenario(name)
				if err != nil {
					return err
				}
				for _, policy := range strings.Split(*policies, ",") {
					r, err := o.one(ctx, s, tdrun.Options{Binary: binary, Policy: policy, Seed: *seed, NodeLog: logTo, Args: strings.Fields(o.args)})
					if err != nil {
						return err
					}
					results = append(results, r)
				}
			}
			return o.print(results, false)
		},
	}
}

func soakCommand() *ffcli.Command {
	var o options
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	o.register(fs)
	first := fs.Uint64("first", 1, "first seed")
	seeds := fs.Int("seeds", 5, "number of seeds")
	length := fs.Duration("length", 20*time.Second, "length of each run")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "tarragondeal-measure soak [flags]",
		ShortHelp: "Run random mixes of faults and check every promise.",
		LongHelp:  "Example, to repeat seed 17: tarragondeal-measure soak -first 17 -seeds 1",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			binary, logTo, end, err := o.prepare(ctx)
			if err != nil {
				return err
			}
			defer end()
			var results []tdresult.Result
			deployments := []string{"fjellkjede", "lakeshore"}
			for n := range *seeds {
				seed := *first + uint64(n)
				s := tdscenario.Random(seed, deployments[seed%2], *length)
				r, err := o.one(ctx, s, tdrun.Options{Binary: binary, Policy: "owner", Seed: seed, NodeLog: logTo, Args: strings.Fields(o.args)})
				if err != nil {
					return err
				}
				results = append(results, r)
			}
			return o.print(results, true)
		},
	}
}

func (p *options) one(ctx context.Context, s *tdscenario.Scenario, o tdrun.Options) (tdresult.Result, error) {
	o.Scenario = s
	o.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000"}).With().Timestamp().Logger()
	if p.dump != "" {
		f, err := os.Create(p.dump)
		if err != nil {
			return tdresult.Result{}, eris.Wrap(err, "flag dump")
		}
		defer func() { _ = f.Close() }()
		o.Dump = f
	}
	tdrun.Describe(os.Stderr, s, o.Seed)
	r, err := tdrun.Run(ctx, o)
	for _, v := range r.Violations {
		fmt.Fprintln(os.Stderr, "  broken:", v)
	}
	return r, err
}

// scenario reads a scenario by its built-in name or its file.
func scenario(name string) (*tdscenario.Scenario, error) {
	text, err := scenarios.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "scenario %s", name)
	}
	return tdscenario.Parse(name, text)
}

// print writes the results. With strict, broken promises are an error; the
// baselines that are compared with break promises by their nature.
func (o *options) print(results []tdresult.Result, strict bool) error {
	broken := 0
	for _, r := range results {
		broken += len(r.Violations)
	}
	var err error
	if o.asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(results)
	} else {
		err = tdresult.Table(os.Stdout, results)
	}
	if err == nil && strict && broken > 0 {
		return &brokenError{n: broken}
	}
	return err
}
