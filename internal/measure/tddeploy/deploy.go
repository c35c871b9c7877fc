// Package tddeploy defines the two deployments that are measured: their data
// centres, backend servers, configuration objects and demand.
//
// # Usage
//
//	d, err := tddeploy.Named("fjellkjede")
//	cluster, err := tdcluster.Start(d.Spec)
package tddeploy

import (
	"fmt"
	"time"

	"tarragondeal"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdservice"
)

// Demand describes the requests that callers send to one route.
type Demand struct {
	Route string
	// Share is the route's fraction of the deployment's requests.
	Share float64
	// Prompt and Tokens are the medians of the prompt length and of the output
	// tokens. Both are sampled from a lognormal distribution.
	Prompt int // Bytes.
	Tokens int
	// MaxTokens is the limit that callers send; answers usually end before it.
	MaxTokens int
	Stream    bool
	// PrefixBytes is the length of the prompt prefix that all requests of a
	// workspace share.
	PrefixBytes int
}

// Deployment describes one measured system.
type Deployment struct {
	Name  string
	Spec  tdcluster.Spec
	Set   *tarragondeal.Set // Without keys.
	Nodes []string          // The data centre of each entry VM.
	// Demand has an entry for each route. Rate is the highest number of
	// requests per second that the servers can sustain.
	Demand []Demand
	Rate   float64
	// Weights are the workspaces' relative shares of the demand, in the order
	// of Set.Workspaces.
	Weights []float64
}

// UnknownError reports a deployment name that is not defined.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("deployment %q is not known: fjellkjede or lakeshore", e.Name)
}

// Named returns the deployment with the given name. The error is an
// *UnknownError.
func Named(name string) (*Deployment, error) {
	switch name {
	case "fjellkjede":
		return fjellkjede(), nil
	case "lakeshore":
		return lakeshore(), nil
	default:
		return nil, &UnknownError{Name: name}
	}
}

const (
	engineSlots   = 4
	prefill       = 40 * time.Millisecond
	perInputToken = 40 * time.Microsecond
	perToken      = 15 * time.Millisecond
	loadLag       = time.Second
	listLag       = 500 * time.Millisecond
	serviceWork   = 30 * time.Millisecond
	serviceSlots  = 8
	cacheBlocks   = 512
	storeWrites   = 400
	storeReads    = 2000
	crashMarker   = "crashThisEngine"
)

// CrashMarker is text that crashes each engine that runs a request which
// contains it.
const CrashMarker = crashMarker

func engineOptions() *tdengine.Options {
	return &tdengine.Options{
		Slots: engineSlots, Prefill: prefill, PerInput: perInputToken, PerToken: perToken,
		LoadLag: loadLag, CrashMarker: crashMarker, CacheBlocks: cacheBlocks,
		EventLag: time.Second, DropEventEvery: 20, ChecksFence: true,
	}
}

func serviceOptions() *tdservice.Options {
	return &tdservice.Options{Slots: serviceSlots, Work: serviceWork}
}

func newSpec(groups ...tdcluster.Group) tdcluster.Spec {
	return tdcluster.Spec{
		Platform: platformOptions(), Groups: groups,
		RestartAfter: 5 * time.Second, StartUp: 5 * time.Second,
	}
}

func modelGroup(pool, dataCentre string, n int) tdcluster.Group {
	return tdcluster.Group{Pool: pool, DataCentre: dataCentre, Count: n, Engine: engineOptions()}
}

func serviceGroup(pool, dataCentre string, n int) tdcluster.Group {
	return tdcluster.Group{Pool: pool, DataCentre: dataCentre, Count: n, Service: serviceOptions()}
}

// newWorkspaces returns ten workspaces and their weights. Three of them have
// most of the demand.
func newWorkspaces(prefix string, dataCentres ...string) ([]tarragondeal.Workspace, []float64) {
	weights := []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1}
	out := make([]tarragondeal.Workspace, len(weights))
	for n := range out {
		out[n] = tarragondeal.Workspace{Name: fmt.Sprintf("%s%d", prefix, n+1), DataCentres: dataCentres}
	}
	return out, weights
}

func modelClass(name string, tier int, firstToken, deadline time.Duration, minShare float64) tarragondeal.RequestClass {
	return tarragondeal.RequestClass{
		Name: name, Tier: tier, FirstToken: tarragondeal.Duration(firstToken),
		BetweenTokens: tarragondeal.Duration(100 * time.Millisecond),
		Deadline:      tarragondeal.Duration(deadline), Objective: 0.95, MinShare: minShare,
	}
}

func serviceClass(name string, tier int) tarragondeal.RequestClass {
	return tarragondeal.RequestClass{
		Name: name, Tier: tier, Completion: tarragondeal.Duration(500 * time.Millisecond),
		Deadline: tarragondeal.Duration(5 * time.Second), Objective: 0.99,
	}
}
