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

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// SettingError describes a missing or invalid setting.
type SettingError struct {
	File string // Settings file, empty when the setting is not in it.
	Line int    // Line in the file, or 0 when unknown.
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

// Unwrap returns the underlying error.
func (e *SettingError) Unwrap() error { return e.Err }

// SettingsError lists all missing and invalid settings.
type SettingsError struct{ Errors []*SettingError }

func (e *SettingsError) Error() string {
	messages := make([]string, 0, len(e.Errors))
	for _, err := range e.Errors {
		messages = append(messages, err.Error())
	}
	return strings.Join(messages, "\n")
}

// source records the line of each setting in the settings file.
type source struct {
	file  string
	lines map[string]int // Line numbers by the setting's name.
	flags *flag.FlagSet  // Nil when the environment was not read.
}

// newError returns an error with the position of the setting, if it is in the
// file.
func (s *source) newError(path string, err error) *SettingError {
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

// Options declares the flag -config and returns the options for ff.Parse.
func (s *Settings) Options(fs *flag.FlagSet) []ff.Option {
	s.source.flags = fs
	fs.StringVar(&s.source.file, "config", "", "settings file in YAML")
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(func(r io.Reader, set func(name, value string) error) error {
			return s.source.parse(fs, r, set)
		}),
	}
}

// parse reads the settings file for ff.Parse.
func (s *source) parse(fs *flag.FlagSet, r io.Reader, set func(name, value string) error) error {
	s.lines = make(map[string]int)
	text, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = eris.Errorf("more than %d bytes", maxFileBytes)
	}
	if err != nil {
		return &SettingsError{Errors: []*SettingError{{File: s.file, Err: err}}}
	}
	doc, err := parser.ParseBytes(text, 0)
	if err != nil {
		return &SettingsError{Errors: []*SettingError{s.syntax(err)}}
	}
	w := walker{source: s, flags: fs, set: set}
	for _, d := range doc.Docs {
		if d.Body != nil {
			w.visit("", d.Body)
		}
	}
	if len(w.errs) > 0 {
		return &SettingsError{Errors: w.errs}
	}
	return nil
}

// syntax returns an error for invalid YAML, with its line if the parser gives
// one.
func (s *source) syntax(err error) *SettingError {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		return &SettingError{File: s.file, Line: at.GetToken().Position.Line, Err: eris.New(at.GetMessage())}
	}
	return &SettingError{File: s.file, Err: err}
}

// walker flattens nested maps into settings with dotted names. It collects
// errors and continues.
type walker struct {
	source *source
	flags  *flag.FlagSet
	set    func(name, value string) error
	errs   []*SettingError
}

func (w *walker) visit(path string, n ast.Node) {
	m, ok := n.(ast.MapNode)
	if !ok {
		w.setValue(path, n)
		return
	}
	it := m.MapRange()
	for it.Next() {
		name := strings.Trim(it.Key().String(), `"' `)
		if path != "" {
			name = path + "." + name
		}
		w.visit(name, it.Value())
	}
}

func (w *walker) setValue(path string, n ast.Node) {
	if n.Type() == ast.CommentType || n.Type() == ast.NullType && path == "" {
		return
	}
	w.source.lines[path] = n.GetToken().Position.Line
	s, ok := n.(ast.ScalarNode)
	f := w.flags.Lookup(path)
	switch {
	case f == nil:
		w.addError(path, eris.New("no such setting"))
	case !ok:
		w.addError(path, eris.New("expected a single value"))
	default:
		if err := w.set(path, fmt.Sprint(s.GetValue())); err != nil {
			w.addError(path, eris.Errorf("invalid value %v: %v", s.GetValue(), rootCause(err)))
		}
	}
}

func (w *walker) addError(path string, err error) {
	w.errs = append(w.errs, w.source.newError(path, err))
}

// rootCause returns the innermost error, without the text about flags that the
// flag package wraps it in.
func rootCause(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}
