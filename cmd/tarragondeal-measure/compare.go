package main

import (
	"context"
	"embed"
	"flag"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"tarragondeal/internal/measure/tdresult"
	"tarragondeal/internal/measure/tdrun"
	"tarragondeal/internal/measure/tdscenario"
)

//go:embed scenarios/*.yaml
var scenarios embed.FS

func compareCommand() *ffcli.Command {
	var o options
	fs := flag.NewFlagSet("compare", flag.ContinueOnError)
	o.register(fs)
	names := fs.String("scenario", "steady", "scenarios, separated by commas; each a built-in name or a file")
	policies := fs.String("policy", "owner,roundRobin,leastOutstanding,powerOfTwo", "dispatch policies, separated by commas")
	seed := fs.Uint64("seed", 1, "seed of the arrivals and the random choices")
	return &ffcli.Command{
		Name: "compare", ShortUsage: "tarragondeal-measure compare [flags]",
		ShortHelp: "Run scenarios with several policies, with the same seed and arrivals.",
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
				s, err := readScenario(name)
				if err != nil {
					return err
				}
				for _, policy := range strings.Split(*policies, ",") {
					r, err := o.runScenario(ctx, s, tdrun.Options{Binary: binary, Policy: policy, Seed: *seed, NodeLog: logTo, Args: strings.Fields(o.args)})
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

// readScenario reads a built-in scenario or, if there is none with this name, the
// scenario in the named file.
func readScenario(name string) (*tdscenario.Scenario, error) {
	text, err := scenarios.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "scenario %s", name)
	}
	return tdscenario.Parse(name, text)
}
