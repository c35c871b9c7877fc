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
	fs.Int64Var(&f.base, "base", -1, "version the set was made from; else the file's header says it")
	fs.BoolVar(&f.dryRun, "dryRun", false, "show what would change and stop")
	fs.BoolVar(&f.update, "update", false, "write the new version into the file's header")
	return &ffcli.Command{
		Name: "apply", ShortUsage: "tarragondeal config apply [flags] FILE",
		ShortHelp: "Publish a set and wait until it is in force at all nodes.",
		LongHelp: "The set is published only if the version it was made from is still in force. A file from\n" +
			"config show says its version; a file of your own starts from version 0, which means that\n" +
			"nothing was published yet, or from -base. A file without a keys field leaves the keys\n" +
			"as they are.\n\n" +
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
	t.show(doc)
	if len(doc.Faults) > 0 {
		return fmt.Errorf("%d faults; nothing was changed", len(doc.Faults))
	}
	base, _ := baseOf(text)
	if f.base >= 0 {
		base = tarragondeal.Version(f.base)
	}
	c, ctx, cancel, err := t.client(ctx, &f.nodeFlags, f.wait)
	if err != nil {
		return err
	}
	defer cancel()
	now, err := c.Set(ctx)
	if err != nil {
		return err
	}
	if now.Version != base {
		return t.conflict(ctx, c, base, now)
	}
	if doc.Set.Keys == nil {
		doc.Set.Keys = now.Set.Keys
	}
	changes := tdset.Diff(now.Set, doc.Set)
	t.changes(changes)
	if len(changes) == 0 || f.dryRun {
		t.printf("version %d stays in force\n", now.Version)
		return nil
	}
	res, err := c.Publish(ctx, tdoperator.Published{
		Version: base, Set: doc.Set, Note: f.note, Wait: tarragondeal.Duration(f.wait),
	})
	if err != nil {
		return err
	}
	if f.update && file != "-" {
		if err := writeBase(file, text, res.Version); err != nil {
			return fmt.Errorf("version %d is published, but its header can't be written: %w", res.Version, err)
		}
	}
	return t.inForce(res)
}

// conflict says what came between the version a set was made from and the
// one in force.
func (t *tool) conflict(ctx context.Context, c *tdoperator.Client, base tarragondeal.Version, now tdoperator.Published) error {
	out := &conflictError{base: base, current: now.Version}
	before, err := c.Published(ctx, base)
	if err != nil {
		return out // What came in between can't be told; the conflict stands.
	}
	for _, d := range tdset.Diff(before.Set, now.Set) {
		out.details = append(out.details, d.String())
	}
	return out
}

func (t *tool) changes(list []tdset.Change) {
	for _, c := range list {
		t.printf("%s\n", c)
	}
	if len(list) == 0 {
		t.printf("no difference\n")
	}
}

// writeBase writes the version into the header of a set's file.
func writeBase(file string, text []byte, v tarragondeal.Version) error {
	line := fmt.Sprintf(header, v)
	if _, has := baseOf(text); has {
		at := headerForm.FindIndex(text)
		text = append([]byte(string(text[:at[0]])+line), trimNewline(text[at[1]:])...)
	} else {
		text = append([]byte(line), text...)
	}
	return replace(file, text)
}

// replace writes a file as a whole, so that a failure leaves the old one.
func replace(file string, text []byte) error {
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
