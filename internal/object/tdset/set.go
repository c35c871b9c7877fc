package tdset

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"tarragondeal"
)

// MaxTextBytes bounds the text of a set.
const MaxTextBytes = 8 << 20

// Fault is one thing wrong with a set.
type Fault struct {
	Path string `json:"path,omitempty"` // Such as routes[2].class.
	Line int    `json:"line,omitempty"` // Zero when not known.
	Text string `json:"text"`
}

func (f Fault) String() string {
	if f.Path == "" {
		return f.Text
	}
	return f.Path + ": " + f.Text
}

// FaultsError is a set that can't be published.
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

// In returns the fault as a line that names the file it was found in.
func (f Fault) In(file string) string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", file, f)
	}
	return fmt.Sprintf("%s:%d: %s", file, f.Line, f)
}

// Document is a set as it was read, with all that the check found.
type Document struct {
	File     string
	Set      *tarragondeal.Set
	Faults   []Fault // Any of them keeps the set from being published.
	Warnings []Fault
}

// Err returns the faults as a *FaultsError, or nil when there are none.
func (d *Document) Err() error {
	if len(d.Faults) == 0 {
		return nil
	}
	return &FaultsError{File: d.File, Faults: d.Faults}
}

// Read reads a set from YAML and checks it. The file's name is only used in
// messages.
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
	c.all()
	d.Faults = locate(dec.lines, append(dec.faults, c.faults...))
	d.Warnings = locate(dec.lines, c.warnings)
	return d
}

// NewDocument checks a set that is decoded already. Its faults have no lines.
func NewDocument(file string, set *tarragondeal.Set) *Document {
	c := newChecker(set)
	c.all()
	return &Document{File: file, Set: set, Faults: c.faults, Warnings: c.warnings}
}

// Parse reads a set from YAML and checks it. The error is a *FaultsError.
func Parse(file string, text []byte) (*tarragondeal.Set, error) {
	d := Read(file, text)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return d.Set, nil
}

// Format writes a set as YAML.
func Format(set *tarragondeal.Set) ([]byte, error) {
	return yaml.Marshal(set)
}

// Check returns everything that is wrong with a set.
func Check(set *tarragondeal.Set) []Fault { return NewDocument("", set).Faults }

// locate gives each fault the line of its path, or of the closest object
// around it that the text has.
func locate(lines map[string]int, faults []Fault) []Fault {
	for n := range faults {
		f := &faults[n]
		for path := f.Path; f.Line == 0; path = parent(path) {
			f.Line = lines[path]
			if path == "" {
				break
			}
		}
	}
	return faults
}

func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	return path[:max(0, cut)]
}
