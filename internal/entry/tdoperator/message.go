package tdoperator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

// Published is a set and the version it was published as. To publish, give
// the version the set was made from, and the set either as an object, which
// costs a node least, or as text.
type Published struct {
	Version tarragondeal.Version  `json:"version"`
	Set     *tarragondeal.Set     `json:"set,omitempty"`
	Text    string                `json:"text,omitempty"` // The set as YAML.
	Note    string                `json:"note,omitempty"` // Why it is published.
	Wait    tarragondeal.Duration `json:"wait,omitempty"` // How long to wait until it is in force.
}

// document returns the set that is to be published, checked.
func (p *Published) document() (*tdset.Document, error) {
	switch {
	case p.Set != nil && p.Text != "":
		return nil, badRequest("give the set once: as set or as text")
	case p.Set != nil:
		return tdset.Of("set", p.Set), nil
	}
	return tdset.Read("set", []byte(p.Text)), nil
}

// Result is what became of a change.
type Result struct {
	Version  tarragondeal.Version  `json:"version"`
	Changed  bool                  `json:"changed"`            // False when it stood so already.
	Lagging  []tarragondeal.NodeID `json:"lagging,omitempty"`  // Nodes that don't have it in force yet.
	Warnings []tdset.Fault         `json:"warnings,omitempty"` // What is of no use in the set.
}

// NewKey is a key to publish. The caller made it, so that no node ever sees
// its secret.
type NewKey struct {
	Key  tarragondeal.Key      `json:"key"`
	Note string                `json:"note,omitempty"`
	Wait tarragondeal.Duration `json:"wait,omitempty"`
}

// KeyInfo is what operators are shown of a key.
type KeyInfo struct {
	Name      string              `json:"name"`
	Workspace string              `json:"workspace"`
	Withdrawn bool                `json:"withdrawn"`
	Limits    tarragondeal.Limits `json:"limits"`
}

// Keys is the list of keys of the set in force.
type Keys struct {
	Version tarragondeal.Version `json:"version"`
	Keys    []KeyInfo            `json:"keys"`
}

// History is the newest publications, newest first.
type History struct {
	Publications []tarragondeal.Publication `json:"publications"`
}

// NodeStatus is one node as the answering node knows it.
type NodeStatus struct {
	Node       tarragondeal.NodeID  `json:"node"`
	DataCentre string               `json:"dataCentre"`
	State      string               `json:"state"`
	Version    tarragondeal.Version `json:"version"`
	Load       float64              `json:"load"`
	Entry      netip.AddrPort       `json:"entry"`
	Peer       netip.AddrPort       `json:"peer"`
}

// ServerGroup counts the backend servers of a pool in a data centre.
type ServerGroup struct {
	Pool       string `json:"pool"`
	DataCentre string `json:"dataCentre"`
	Live       int    `json:"live"`
	Leaving    int    `json:"leaving"`
}

// Duty is a duty that one node of the fleet has.
type Duty struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// Status is what one node knows of the fleet.
type Status struct {
	Self    tarragondeal.NodeID  `json:"self"`
	Version tarragondeal.Version `json:"version"`
	Nodes   []NodeStatus         `json:"nodes"`
	Servers []ServerGroup        `json:"servers"`
	Duties  []Duty               `json:"duties"`
	// DutiesError says why the duties could not be read.
	DutiesError string `json:"dutiesError,omitempty"`
}

// Code is a stable word for why a call was refused.
type Code string

// The codes of refused calls.
const (
	CodeBadRequest   Code = "badRequest"
	CodeUnauthorised Code = "unauthorised"
	CodeFaults       Code = "faults"    // The set is not consistent.
	CodeConflict     Code = "conflict"  // Another set was published in between.
	CodeNotFound     Code = "notFound"  // No such version or key.
	CodeNameTaken    Code = "nameTaken" // Another key has the name.
	CodeStoreAway    Code = "storeAway" // Nothing was changed.
	CodeUnsettled    Code = "unsettled" // The change may or may not take effect.
	CodeInternal     Code = "internal"
)

// Error is a refused call. All refusals have this form.
type Error struct {
	Status  int                  `json:"-"`
	Code    Code                 `json:"code"`
	Message string               `json:"message"`
	Faults  []tdset.Fault        `json:"faults,omitempty"`
	Version tarragondeal.Version `json:"version,omitempty"` // In force at the node, for conflicts.
}

func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return e.Message
	}
	lines := []string{e.Message}
	for _, f := range e.Faults {
		lines = append(lines, f.In("set"))
	}
	return strings.Join(lines, "\n")
}

// errorBody is how an error travels.
type errorBody struct {
	Error *Error `json:"error"`
}

// stateName writes the state of a member.
func stateName(s tarragondeal.MemberState) string {
	switch s {
	case tarragondeal.MemberAlive:
		return "alive"
	case tarragondeal.MemberSuspect:
		return "suspect"
	case tarragondeal.MemberLeaving:
		return "leaving"
	case tarragondeal.MemberDead:
		return "dead"
	}
	return fmt.Sprintf("state %d", int(s))
}

// Bounds of how long a change waits until it is in force.
const (
	DefaultWait = 10 * time.Second
	maxWait     = time.Minute
)

func waitOf(d tarragondeal.Duration) time.Duration {
	if d <= 0 {
		return DefaultWait
	}
	return min(time.Duration(d), maxWait)
}
