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

// one runs one scenario, and then prints its schedule and its broken promises
// together, as other runs may go on beside it.
func (o *options) one(ctx context.Context, s *tdscenario.Scenario, run tdrun.Options) (tdresult.Result, error) {
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
		fmt.Fprintln(os.Stderr, "  broken:", v)
	}
	return r, err
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
