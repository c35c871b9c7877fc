package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tarragondeal/internal/measure/tdresult"
	"tarragondeal/internal/measure/tdrun"
	"tarragondeal/internal/measure/tdscenario"
)

// options holds the flags that all commands share.
type options struct {
	binary  string
	nodeLog string
	dump    string
	args    string
	asJSON  bool
}

func (o *options) register(fs *flag.FlagSet) {
	fs.StringVar(&o.binary, "binary", "", "path of the tarragondeal program; built if empty")
	fs.StringVar(&o.nodeLog, "nodeLog", "", "file for the nodes' logs")
	fs.StringVar(&o.dump, "dump", "", "file for the history of the last run, as JSON")
	fs.StringVar(&o.args, "args", "", "additional flags of every node, separated by spaces")
	fs.BoolVar(&o.asJSON, "json", false, "print JSON instead of a table")
}

// prepare returns the program to run, building it if no binary is given, and the
// writer for the nodes' logs. If err is nil, the caller must call end after the
// runs.
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
		return "", nil, nil, eris.Wrap(err, "create temporary directory")
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

// runScenario runs a scenario. It prints the schedule and the violations only
// after the run, so that they stay together when other runs print in parallel.
func (o *options) runScenario(ctx context.Context, s *tdscenario.Scenario, run tdrun.Options) (tdresult.Result, error) {
	run.Scenario = s
	run.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000"}).With().Timestamp().Logger()
	if o.dump != "" {
		f, err := os.Create(o.dump)
		if err != nil {
			return tdresult.Result{}, eris.Wrap(err, "flag dump")
		}
		defer func() { _ = f.Close() }()
		run.Dump = f
	}
	r, err := tdrun.Run(ctx, run)
	tdrun.Describe(os.Stderr, s, run.Seed)
	for _, v := range r.Violations {
		fmt.Fprintln(os.Stderr, "  violated:", v)
	}
	return r, err
}

// print writes the results. If strict is set, violated guarantees are an error.
// A comparison is not strict, since the baselines do not keep all guarantees.
func (o *options) print(results []tdresult.Result, strict bool) error {
	violations := 0
	for _, r := range results {
		violations += len(r.Violations)
	}
	var err error
	if o.asJSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		err = enc.Encode(results)
	} else {
		err = tdresult.Table(os.Stdout, results)
	}
	if err == nil && strict && violations > 0 {
		return &violationsError{n: violations}
	}
	return err
}
