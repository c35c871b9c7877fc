package tdsettings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
)

// maxFileBytes bounds a file of settings.
const maxFileBytes = 1 << 20

// SettingError is one setting that is wrong.
type SettingError struct {
	File string // Empty when it does not stand in the file.
	Line int
	Path string
	Err  error
}

func (e *SettingError) Error() string {
	switch {
	case e.File == "":
		return fmt.Sprintf("setting %s: %v", e.Path, e.Err)
	case e.Line == 0:
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	case e.Path == "":
		return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
	}
	return fmt.Sprintf("%s:%d: %s: %v", e.File, e.Line, e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *SettingError) Unwrap() error { return e.Err }

// SettingsError is all that is wrong with the settings.
type SettingsError struct{ Faults []*SettingError }

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// source remembers where the file's settings stand.
type source struct {
	file  string
	lines map[string]int
	flags *flag.FlagSet // Nil when the environment was not read.
}

func (s *source) wrong(path string, err error) *SettingError {
	e := &SettingError{Path: path, Err: err}
	if n, ok := s.lines[path]; ok {
		e.File, e.Line = s.file, n
	}
	return e
}

// Parse fills the registered settings from args, the environment and the
// file that -config names.
func (s *Settings) Parse(fs *flag.FlagSet, args []string) error {
	return ff.Parse(fs, args, s.Options(fs)...)
}

// Options declares the flag -config and returns how to parse the rest.
func (s *Settings) Options(fs *flag.FlagSet) []ff.Option {
	s.source.flags = fs
	fs.StringVar(&s.source.file, "config", "", "YAML file of settings")
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return s.source.parse(fs, r, set)
		}),
	}
}

// parse reads a file of settings, as ff asks for it.
func (s *source) parse(fs *flag.FlagSet, r io.Reader, set func(name, value string) error) error {
	s.lines = make(map[string]int)
	text, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = eris.Errorf("more than %d bytes", maxFileBytes)
	}
	if err != nil {
		return &SettingsError{Faults: []*SettingError{{File: s.file, Err: err}}}
	}
	doc, err := parser.ParseBytes(text, 0)
	if err != nil {
		return &SettingsError{Faults: []*SettingError{s.syntax(err)}}
	}
	w := walker{source: s, flags: fs, set: set}
	for _, d := range doc.Docs {
		if d.Body != nil {
			w.node("", d.Body)
		}
	}
	if len(w.faults) > 0 {
		return &SettingsError{Faults: w.faults}
	}
	return nil
}

func (s *source) syntax(err error) *SettingError {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		return &SettingError{File: s.file, Line: at.GetToken().Position.Line, Err: eris.New(at.GetMessage())}
	}
	return &SettingError{File: s.file, Err: err}
}

// walker flattens nested maps into settings with dotted names. It goes on
// after a fault.
type walker struct {
	source *source
	flags  *flag.FlagSet
	set    func(name, value string) error
	faults []*SettingError
}

func (w *walker) node(path string, n ast.Node) {
	m, ok := n.(ast.MapNode)
	if !ok {
		w.value(path, n)
		return
	}
	it := m.MapRange()
	for it.Next() {
		name := strings.Trim(it.Key().String(), `"' `)
		if path != "" {
			name = path + "." + name
		}
		w.node(name, it.Value())
	}
}

func (w *walker) value(path string, n ast.Node) {
	if n.Type() == ast.CommentType || n.Type() == ast.NullType && path == "" {
		return
	}
	w.source.lines[path] = n.GetToken().Position.Line
	s, ok := n.(ast.ScalarNode)
	f := w.flags.Lookup(path)
	switch {
	case f == nil:
		w.wrong(path, eris.New("no such setting"))
	case !ok:
		w.wrong(path, eris.New("expected a single value"))
	default:
		if err := w.set(path, fmt.Sprint(s.GetValue())); err != nil {
			w.wrong(path, eris.Errorf("%v is no value for it: %v", s.GetValue(), cause(err)))
		}
	}
}

func (w *walker) wrong(path string, err error) {
	w.faults = append(w.faults, w.source.wrong(path, err))
}

// cause returns the innermost error, which the flag package wraps in
// sentences about flags.
func cause(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}
