package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"

	"tarragondeal"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/object/tdset"
)

type applyFlags struct {
	changeFlags
	base   int64
	dryRun bool
	update bool
}

func (t *tool) configApply() *ffcli.Command {
	var f applyFlags
	fs := t.flags("apply")
	f.register(fs)
	fs.Int64Var(&f.base, "base", -1, "version that the set is based on; default: the version in the file's header")
	fs.BoolVar(&f.dryRun, "dryRun", false, "show the changes without publishing them")
	fs.BoolVar(&f.update, "update", false, "write the new version to the file's header")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "tarragondeal config apply [flags] FILE",
		ShortHelp: "Publish a set and wait until it is in force at all nodes.",
		LongHelp: "The set is published only if the version that it is based on is still in force. A file\n" +
			"from config show names its version in its header. A file without a header is based on\n" +
			"version 0, before the first publication, unless -base is given. A file without a keys\n" +
			"field leaves the keys unchanged.\n\n" +
			example("tarragondeal config show > set.yaml", "tarragondeal config apply -note 'more benches' -update set.yaml"),
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("name the one file to apply, or - for the standard input")
			}
			return t.apply(ctx, &f, args[0])
		},
	}
}

func (t *tool) apply(ctx context.Context, f *applyFlags, file string) error {
	text, err := t.readFile(file)
	if err != nil {
		return err
	}
	doc := tdset.Read(file, text)
	t.printFaults(doc)
	if len(doc.Faults) > 0 {
		return fmt.Errorf("%d faults; nothing was changed", len(doc.Faults))
	}
	base, _ := baseVersion(text)
	if f.base >= 0 {
		base = tarragondeal.Version(f.base)
	}
	c, ctx, cancel, err := t.client(ctx, &f.nodeFlags, f.wait)
	if err != nil {
		return err
	}
	defer cancel()
	current, err := c.Set(ctx)
	if err != nil {
		return err
	}
	if current.Version != base {
		return t.newConflictError(ctx, c, base, current)
	}
	if doc.Set.Keys == nil {
		doc.Set.Keys = current.Set.Keys
	}
	changes := tdset.Diff(current.Set, doc.Set)
	t.printChanges(changes)
	if len(changes) == 0 || f.dryRun {
		t.printf("version %d stays in force\n", current.Version)
		return nil
	}
	res, err := c.Publish(ctx, tdoperator.Published{
		Version: base, Set: doc.Set, Note: f.note, Wait: tarragondeal.Duration(f.wait),
	})
	if err != nil {
		return err
	}
	if f.update && file != "-" {
		if err := writeHeader(file, text, res.Version); err != nil {
			return fmt.Errorf("version %d is published, but the header of the file can't be written: %w", res.Version, err)
		}
	}
	return t.printResult(res)
}

// newConflictError returns an error that lists the changes between the version
// that a set is based on and the version in force.
func (t *tool) newConflictError(ctx context.Context, c *tdoperator.Client, base tarragondeal.Version, current tdoperator.Published) error {
	out := &conflictError{base: base, current: current.Version}
	before, err := c.Published(ctx, base)
	if err != nil {
		return out // Without the changes in between, which are unknown.
	}
	for _, d := range tdset.Diff(before.Set, current.Set) {
		out.details = append(out.details, d.String())
	}
	return out
}

func (t *tool) printChanges(list []tdset.Change) {
	for _, c := range list {
		t.printf("%s\n", c)
	}
	if len(list) == 0 {
		t.printf("no difference\n")
	}
}

// writeHeader writes the version to the header of a set's file.
func writeHeader(file string, text []byte, v tarragondeal.Version) error {
	line := fmt.Sprintf(headerFormat, v)
	if _, has := baseVersion(text); has {
		at := headerPattern.FindIndex(text)
		text = append([]byte(string(text[:at[0]])+line), trimNewline(text[at[1]:])...)
	} else {
		text = append([]byte(line), text...)
	}
	return replaceFile(file, text)
}

// replaceFile replaces a file by renaming a temporary file, so that a failure
// leaves the old content.
func replaceFile(file string, text []byte) error {
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	next, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	_, err = next.Write(text)
	if cerr := next.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Chmod(next.Name(), info.Mode().Perm())
	}
	if err == nil {
		err = os.Rename(next.Name(), file)
	}
	if err != nil {
		_ = os.Remove(next.Name())
	}
	return err
}

func trimNewline(b []byte) []byte {
	if len(b) > 0 && b[0] == '\n' {
		return b[1:]
	}
	return b
}
