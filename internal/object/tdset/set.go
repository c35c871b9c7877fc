// Package tdset reads sets of objects and checks them as a whole.
//
// # Usage
//
//	set, err := tdset.Parse(file, text)
//	var faults *tdset.FaultsError
//	if errors.As(err, &faults) {
//		// Every fault, with its path and line.
//	}
//
// A set that passes is consistent: every name resolves, and each route can
// be served in at least one permitted data centre.
package tdset

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"tarragondeal"
)

// Fault is one thing wrong with a set.
type Fault struct {
	Path string // Such as routes[2].class.
	Line int    // Zero when not known.
	Text string
}

// FaultsError is a set that can't be published.
type FaultsError struct {
	File   string
	Faults []Fault
}

func (e *FaultsError) Error() string {
	var b strings.Builder
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "%s:%d: %s: %s\n", e.File, f.Line, f.Path, f.Text)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// Parse reads a set from YAML and checks it. The error is a *FaultsError.
func Parse(file string, text []byte) (*tarragondeal.Set, error) {
	var set tarragondeal.Set
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := dec.Decode(&set); err != nil {
		return nil, &FaultsError{File: file, Faults: []Fault{{Text: err.Error()}}}
	}
	if faults := Check(&set); len(faults) > 0 {
		return nil, &FaultsError{File: file, Faults: faults}
	}
	return &set, nil
}

// Format writes a set as YAML.
func Format(set *tarragondeal.Set) ([]byte, error) {
	return yaml.Marshal(set)
}

// Check returns everything that is wrong with a set.
func Check(set *tarragondeal.Set) []Fault {
	c := checker{view: tarragondeal.NewView(0, set)}
	for n := range set.Routes {
		c.route(fmt.Sprintf("routes[%d]", n), &set.Routes[n])
	}
	for n := range set.Keys {
		c.key(fmt.Sprintf("keys[%d]", n), &set.Keys[n])
	}
	return c.faults
}

type checker struct {
	view   *tarragondeal.View
	faults []Fault
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) route(path string, r *tarragondeal.Route) {
	if c.view.RequestClasses[r.Class] == nil {
		c.fault(path+".class", "no request class is named %q", r.Class)
	}
	if len(r.Pools) == 0 {
		c.fault(path+".pools", "a route needs a server pool")
	}
	for n, name := range r.Pools {
		if c.view.ServerPools[name] == nil {
			c.fault(fmt.Sprintf("%s.pools[%d]", path, n), "no server pool is named %q", name)
		}
	}
	for n, name := range r.DataCentres {
		if c.view.DataCentres[name] == nil {
			c.fault(fmt.Sprintf("%s.dataCentres[%d]", path, n), "no data centre is named %q", name)
		}
	}
	if r.Open && c.view.Workspaces[r.BilledTo] == nil {
		c.fault(path+".billedTo", "an open route needs a workspace that pays; none is named %q", r.BilledTo)
	}
}

func (c *checker) key(path string, k *tarragondeal.Key) {
	if c.view.Workspaces[k.Workspace] == nil {
		c.fault(path+".workspace", "no workspace is named %q", k.Workspace)
	}
}
