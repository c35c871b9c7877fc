package tdoperator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

// Published is a set and its version. In a request to publish, Version is the
// version that the set is based on, and the set is given either in Set, which is
// cheaper for the node, or in Text.
type Published struct {
	Version tarragondeal.Version  `json:"version"`
	Set     *tarragondeal.Set     `json:"set,omitempty"`
	Text    string                `json:"text,omitempty"` // Set as YAML.
	Note    string                `json:"note,omitempty"` // Reason for the publication, for the history.
	Wait    tarragondeal.Duration `json:"wait,omitempty"` // Maximum time to wait until the set is in force.
}

// document reads and checks the set to publish.
func (p *Published) document() (*tdset.Document, error) {
	switch {
	case p.Set != nil && p.Text != "":
		return nil, badRequest("give the set once: as set or as text")
	case p.Set != nil:
		return tdset.NewDocument("set", p.Set), nil
	}
	return tdset.Read("set", []byte(p.Text)), nil
}

// Result is the result of a change.
type Result struct {
	Version  tarragondeal.Version  `json:"version"`
	Changed  bool                  `json:"changed"`            // False if the change had been made before.
	Lagging  []tarragondeal.NodeID `json:"lagging,omitempty"`  // Nodes where the version is not in force yet.
	Warnings []tdset.Fault         `json:"warnings,omitempty"` // Warnings of the check, which do not prevent publication.
}

// NewKey is a request to issue or withdraw a key; to withdraw one, Key is not
// used. The client generates the key, so that no node ever sees its secret.
type NewKey struct {
	Key  tarragondeal.Key      `json:"key"`
	Note string                `json:"note,omitempty"`
	Wait tarragondeal.Duration `json:"wait,omitempty"`
}

// KeyInfo describes a key without its salt and digest.
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

// History holds the latest publications, newest first.
type History struct {
	Publications []tarragondeal.Publication `json:"publications"`
}

// NodeStatus is the status of a node as known to the node that responds.
type NodeStatus struct {
	Node       tarragondeal.NodeID  `json:"node"`
	DataCentre string               `json:"dataCentre"`
	State      string               `json:"state"`
	Version    tarragondeal.Version `json:"version"`
	Load       float64              `json:"load"`
	Entry      netip.AddrPort       `json:"entry"`
	Peer       netip.AddrPort       `json:"peer"`
}

// ServerGroup holds the numbers of backend servers of a pool in a data centre.
type ServerGroup struct {
	Pool       string `json:"pool"`
	DataCentre string `json:"dataCentre"`
	Live       int    `json:"live"`
	Leaving    int    `json:"leaving"`
}

// Duty is a task that one node performs for the whole fleet, and its holder.
type Duty struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// Status is the status of the fleet as known to one node.
type Status struct {
	Self    tarragondeal.NodeID  `json:"self"`
	Version tarragondeal.Version `json:"version"`
	Nodes   []NodeStatus         `json:"nodes"`
	Servers []ServerGroup        `json:"servers"`
	Duties  []Duty               `json:"duties"`
	// DutiesError is the error that occurred when the duties were read.
	DutiesError string `json:"dutiesError,omitempty"`
}

// Code is a stable, machine-readable reason of an error response.
type Code string

// Error codes of the API.
const (
	CodeBadRequest       Code = "badRequest"
	CodeUnauthorised     Code = "unauthorised"
	CodeFaults           Code = "faults"    // The set is not consistent.
	CodeConflict         Code = "conflict"  // Another set was published in between.
	CodeNotFound         Code = "notFound"  // The version, key or path does not exist.
	CodeNameTaken        Code = "nameTaken" // Another key has this name.
	CodeStoreUnavailable Code = "storeAway" // The store can't be reached; nothing was changed.
	CodeUnsettled        Code = "unsettled" // The store did not answer; the outcome of the change is unknown.
	CodeInternal         Code = "internal"
)

// Error is an error response of the API.
type Error struct {
	Status  int                  `json:"-"`
	Code    Code                 `json:"code"`
	Message string               `json:"message"`
	Faults  []tdset.Fault        `json:"faults,omitempty"`
	Version tarragondeal.Version `json:"version,omitempty"` // Version in force at the node, for CodeConflict.
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

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error *Error `json:"error"`
}

// stateName returns the name of a member state in the API.
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

// Default and maximum time to wait until a change is in force.
const (
	DefaultWait = 10 * time.Second
	maxWait     = time.Minute
)

// clampWait returns the time to wait for a change to be in force, given the wait
// of the request.
func clampWait(d tarragondeal.Duration) time.Duration {
	if d <= 0 {
		return DefaultWait
	}
	return min(time.Duration(d), maxWait)
}
