package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal/internal/measure/tdresult"
	"tarragondeal/internal/measure/tdrun"
	"tarragondeal/internal/measure/tdscenario"
)

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
