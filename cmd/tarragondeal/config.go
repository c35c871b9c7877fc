package main

import (
	"context"
	"fmt"
	"regexp"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

func (t *tool) config() *ffcli.Command {
	return t.group("tarragondeal config", "Check, publish and compare sets of objects.",
		t.configCheck(), t.configApply(), t.configShow(), t.configDiff(), t.configHistory())
}

// headerFormat is the first line of a set that config show prints as YAML. It
// names the version that the set is based on when it is applied later.
const headerFormat = "# tarragondeal version %d\n"

var headerPattern = regexp.MustCompile(`(?m)^# tarragondeal version ([0-9]+)\s*$`)

// baseVersion returns the version in the header of a set. It returns false
// when there is no valid header.
func baseVersion(text []byte) (tarragondeal.Version, bool) {
	m := headerPattern.FindSubmatch(text)
	if m == nil {
		return 0, false
	}
	v, err := strconv.ParseUint(string(m[1]), 10, 64)
	return tarragondeal.Version(v), err == nil
}

func (t *tool) configCheck() *ffcli.Command {
	fs := t.flags("check")
	strict := fs.Bool("strict", false, "treat warnings as failures")
	return &ffcli.Command{
		Name: "check", ShortUsage: "tarragondeal config check [flags] FILE...",
		ShortHelp: "Check sets without publishing them. No node is contacted.",
		LongHelp:  example("tarragondeal config check set.yaml", "tarragondeal config check -strict - < set.yaml"),
		FlagSet:   fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("name the files to check, or - for the standard input")
			}
			return t.check(args, *strict)
		},
	}
}

func (t *tool) check(files []string, strict bool) error {
	faults, warnings := 0, 0
	for _, file := range files {
		doc, err := t.readSet(file)
		if err != nil {
			return err
		}
		t.printFaults(doc)
		if len(doc.Faults) == 0 {
			t.printf("%s: consistent: %s\n", file, countObjects(doc.Set))
		}
		faults += len(doc.Faults)
		warnings += len(doc.Warnings)
	}
	if faults > 0 || strict && warnings > 0 {
		return fmt.Errorf("%d faults, %d warnings", faults, warnings)
	}
	return nil
}

func (t *tool) readSet(file string) (*tdset.Document, error) {
	text, err := t.readFile(file)
	if err != nil {
		return nil, err
	}
	return tdset.Read(file, text), nil
}

// printFaults prints the faults and warnings of a set.
func (t *tool) printFaults(doc *tdset.Document) {
	for _, f := range doc.Faults {
		t.warnf("%s\n", f.In(doc.File))
	}
	for _, f := range doc.Warnings {
		t.warnf("%s\n", tdset.Fault{Line: f.Line, Text: "warning: " + f.String()}.In(doc.File))
	}
}

// countObjects returns the number of objects of each kind as text.
func countObjects(s *tarragondeal.Set) string {
	return fmt.Sprintf("%d data centres, %d server pools, %d request classes, %d workspaces, %d routes, %d keys",
		len(s.DataCentres), len(s.ServerPools), len(s.RequestClasses), len(s.Workspaces), len(s.Routes), len(s.Keys))
}
