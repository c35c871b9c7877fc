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
	axes := fs.String("axis", strings.Join(tdslope.Axes(), ","), "axes to sweep one after the other, separated by commas")
	sizes := fs.String("sizes", "", "sizes to measure, separated by commas; only with a single axis")
	nodes := fs.Int("nodes", 4, "number of nodes when another axis is swept")
	window := fs.Duration("window", 5*time.Second, "length of the measurement at each point")
	settle := fs.Duration("settle", 3*time.Second, "how long a fleet runs before each measurement")
	return &ffcli.Command{
		Name: "capacity", ShortUsage: "tarragondeal-measure capacity [flags]",
		ShortHelp: "Measure the resources that a node needs as a deployment grows, and fit lines to them.",
		LongHelp:  "Example: tarragondeal-measure capacity -axis nodes -sizes 4,8,16,32",
		FlagSet:   fs,
		Exec: func(ctx context.Context, _ []string) error {
			list, err := parseSizes(*sizes)
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

// sweep measures the axes and prints the result of each when it is complete. If
// an axis fails, the points measured before the failure are printed.
func sweep(ctx context.Context, axes []string, o tdslope.Options, asJSON bool) error {
	if len(o.Sizes) > 0 && len(axes) > 1 {
		return eris.New("flag sizes: requires a single axis")
	}
	for _, axis := range axes {
		r, failed := tdslope.Sweep(ctx, axis, o)
		if err := printResult(r, asJSON); err != nil {
			return err
		}
		if failed != nil {
			return eris.Wrapf(failed, "axis %s after %d points", axis, len(r.Points))
		}
	}
	return nil
}

// printResult prints a result with at least one point as a table or as JSON.
func printResult(r tdslope.Result, asJSON bool) error {
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

// parseSizes parses numbers that are separated by commas.
func parseSizes(text string) ([]float64, error) {
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
