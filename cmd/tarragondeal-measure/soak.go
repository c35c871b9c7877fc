package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sourcegraph/conc/pool"

	"tarragondeal/internal/measure/tdresult"
	"tarragondeal/internal/measure/tdrun"
	"tarragondeal/internal/measure/tdscenario"
)

// deployments alternate by seed.
var deployments = []string{"fjellkjede", "lakeshore"}

func soakCommand() *ffcli.Command {
	var o options
	fs := flag.NewFlagSet("soak", flag.ContinueOnError)
	o.register(fs)
	first := fs.Uint64("first", 1, "first seed")
	seeds := fs.Int("seeds", 5, "number of seeds")
	parallel := fs.Int("parallel", 1, "maximum number of concurrent runs")
	length := fs.Duration("length", 20*time.Second, "length of each run")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "tarragondeal-measure soak [flags]",
		ShortHelp: "Run random mixes of faults and check every guarantee.",
		LongHelp:  "Example, to repeat seed 17: tarragondeal-measure soak -first 17 -seeds 1",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			binary, logTo, end, err := o.prepare(ctx)
			if err != nil {
				return err
			}
			defer end()
			runs := pool.NewWithResults[tdresult.Result]().WithErrors().WithFirstError().WithMaxGoroutines(*parallel)
			for n := range *seeds {
				seed := *first + uint64(n)
				s := tdscenario.Random(seed, deployments[seed%2], *length)
				runs.Go(func() (tdresult.Result, error) {
					return o.runScenario(ctx, s, tdrun.Options{Binary: binary, Policy: "owner", Seed: seed, NodeLog: logTo, Args: strings.Fields(o.args), Duties: true, IgnoresFence: seed%4 < 2})
				})
			}
			results, err := runs.Wait()
			if err != nil {
				return err
			}
			return o.print(results, true)
		},
	}
}
