package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"tarragondeal/internal/measure/tdslope"
)

func capacityCommand() *ffcli.Command {
	var o options
	fs := flag.NewFlagSet("capacity", flag.ContinueOnError)
	o.register(fs)
	axes := fs.String("axis", strings.Join(tdslope.Axes(), ","), "sizes to change, one after the other, separated by commas")
	sizes := fs.String("sizes", "", "the sizes, separated by commas, when one axis is given")
	nodes := fs.Int("nodes", 4, "nodes of the sweeps that change another size")
	window := fs.Duration("window", 5*time.Second, "how long each point is watched")
	settle := fs.Duration("settle", 3*time.Second, "how long a fleet rests before it is watched")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "tarragondeal-measure capacity [flags]",
		ShortHelp: "Measure what a node costs as a deployment grows, and fit lines.",
		LongHelp:  "Example: tarragondeal-measure capacity -axis nodes -sizes 4,8,16,32",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			list, err := numbers(*sizes)
			if err != nil {
				return err
			}
			binary, logTo, end, err := o.prepare(ctx)
			if err != nil {
				return err
			}
			defer end()
			slope := tdslope.Options{
				Binary: binary, Window: *window, Settle: *settle, Sizes: list, Nodes: *nodes, LogTo: logTo, Args: strings.Fields(o.args),
			}
			return sweep(ctx, strings.Split(*axes, ","), slope, o.asJSON)
		},
	}
}

// sweep measures axes and prints each as soon as it is done, or as far as it
// came.
func sweep(ctx context.Context, axes []string, o tdslope.Options, asJSON bool) error {
	if len(o.Sizes) > 0 && len(axes) > 1 {
		return eris.New("flag sizes: give one axis with it")
	}
	for _, axis := range axes {
		r, failed := tdslope.Sweep(ctx, axis, o)
		if err := show(r, asJSON); err != nil {
			return err
		}
		if failed != nil {
			return eris.Wrapf(failed, "axis %s after %d points", axis, len(r.Points))
		}
	}
	return nil
}

func show(r tdslope.Result, asJSON bool) error {
	if len(r.Points) == 0 {
		return nil
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	err := tdslope.Table(os.Stdout, r)
	fmt.Println()
	return err
}

func numbers(text string) ([]float64, error) {
	if text == "" {
		return nil, nil
	}
	var out []float64
	for word := range strings.SplitSeq(text, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(word), 64)
		if err != nil {
			return nil, eris.Wrap(err, "flag sizes")
		}
		out = append(out, v)
	}
	return out, nil
}
