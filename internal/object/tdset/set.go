package tdset

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"tarragondeal"
)

// MaxTextBytes is the maximum size of the text of a set.
const MaxTextBytes = 8 << 20

// Fault is an error or a warning found in a set.
type Fault struct {
	Path string `json:"path,omitempty"` // Path of the field, such as routes[2].class.
	Line int    `json:"line,omitempty"` // Line in the text, from 1; zero if unknown.
	Text string `json:"text"`
}

func (f Fault) String() string {
	if f.Path == "" {
		return f.Text
	}
	return f.Path + ": " + f.Text
}

// FaultsError reports the faults that prevent a set from being published.
type FaultsError struct {
	File   string
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.In(e.File))
	}
	return strings.Join(lines, "\n")
}

// In formats the fault as one line that starts with the name of its file.
func (f Fault) In(file string) string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", file, f)
	}
	return fmt.Sprintf("%s:%d: %s", file, f.Line, f)
}

// Document is a set with the results of its check.
type Document struct {
	File     string
	Set      *tarragondeal.Set
	Faults   []Fault // A set with faults can't be published.
	Warnings []Fault
}

// Err returns the faults as a *FaultsError, or nil if there are none.
func (d *Document) Err() error {
	if len(d.Faults) == 0 {
		return nil
	}
	return &FaultsError{File: d.File, Faults: d.Faults}
}

// Read parses a set from YAML and checks it. The file name is used in messages
// only.
func Read(file string, text []byte) *Document {
	d := &Document{File: file, Set: &tarragondeal.Set{}}
	body, fault := parse(text)
	if fault != nil {
		d.Faults = []Fault{*fault}
		return d
	}
	dec := newDecoder()
	dec.set(body, d.Set)
	c := newChecker(d.Set)
	c.run()
	d.Faults = setLines(dec.lines, append(dec.faults, c.faults...))
	d.Warnings = setLines(dec.lines, c.warnings)
	return d
}

// NewDocument checks a set that is already decoded. Its faults have no lines.
func NewDocument(file string, set *tarragondeal.Set) *Document {
	c := newChecker(set)
	c.run()
	return &Document{File: file, Set: set, Faults: c.faults, Warnings: c.warnings}
}

// Parse parses a set from YAML and checks it. The error is a *FaultsError.
func Parse(file string, text []byte) (*tarragondeal.Set, error) {
	d := Read(file, text)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return d.Set, nil
}

// Format returns a set as YAML.
func Format(set *tarragondeal.Set) ([]byte, error) {
	return yaml.Marshal(set)
}

// Check returns the faults of a set.
func Check(set *tarragondeal.Set) []Fault { return NewDocument("", set).Faults }

// setLines sets the line of each fault that has none to the line of its path, or
// of the closest enclosing object that has a line.
func setLines(lines map[string]int, faults []Fault) []Fault {
	for n := range faults {
		f := &faults[n]
		for path := f.Path; f.Line == 0; path = parentPath(path) {
			f.Line = lines[path]
			if path == "" {
				break
			}
		}
	}
	return faults
}

// parentPath returns the path of the enclosing object or list.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	return path[:max(0, cut)]
}
