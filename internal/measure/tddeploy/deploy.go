// Package tddeploy describes the two deployments that the product is
// measured at: their data centres, backend servers, objects and demand.
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

// Demand is what callers of one route ask for.
type Demand struct {
	Route string
	// Share is the part of the deployment's requests.
	Share float64
	// Prompt and Tokens are medians; both are spread around them.
	Prompt int // Bytes.
	Tokens int
	// MaxTokens is what callers state; answers end earlier by themselves.
	MaxTokens int
	Stream    bool
	// PrefixBytes of each prompt are shared within a workspace.
	PrefixBytes int
}

// Deployment is one user's system.
type Deployment struct {
	Name  string
	Spec  tdcluster.Spec
	Set   *tarragondeal.Set // Without keys.
	Nodes []string          // The data centre of each entry VM.
	// Demand is by route; Rate is requests a second that the servers can
	// just carry.
	Demand []Demand
	Rate   float64
	// Weights are the workspaces' parts of the demand, in the set's order.
	Weights []float64
}

// UnknownError is a deployment that nobody described.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("deployment %q is not known: fjellkjede or lakeshore", e.Name)
}

// Named returns a deployment.
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
	engineSlots  = 4
	prefill      = 40 * time.Millisecond
	perInput     = 40 * time.Microsecond
	perToken     = 15 * time.Millisecond
	loadLag      = time.Second
	listLag      = 500 * time.Millisecond
	serviceWork  = 30 * time.Millisecond
	serviceSlots = 8
	cacheBlocks  = 512
	storeWrites  = 400
	storeReads   = 2000
	crashMarker  = "crashThisEngine"
)

// CrashMarker crashes each engine that runs a request which contains it.
const CrashMarker = crashMarker

func engine() *tdengine.Options {
	return &tdengine.Options{
		Slots: engineSlots, Prefill: prefill, PerInput: perInput, PerToken: perToken,
		LoadLag: loadLag, CrashMarker: crashMarker, CacheBlocks: cacheBlocks,
		EventLag: time.Second, EventGap: 20, ChecksFence: true,
	}
}

func service() *tdservice.Options {
	return &tdservice.Options{Slots: serviceSlots, Work: serviceWork}
}

func spec(groups ...tdcluster.Group) tdcluster.Spec {
	return tdcluster.Spec{
		Platform: tdplatformOptions(), Groups: groups,
		RestartAfter: 5 * time.Second, StartUp: 5 * time.Second,
	}
}

func models(pool, dataCentre string, n int) tdcluster.Group {
	return tdcluster.Group{Pool: pool, DataCentre: dataCentre, Count: n, Engine: engine()}
}

func services(pool, dataCentre string, n int) tdcluster.Group {
	return tdcluster.Group{Pool: pool, DataCentre: dataCentre, Count: n, Service: service()}
}

// workspaces makes ten workspaces, a few of them large.
func workspaces(prefix string, dataCentres ...string) ([]tarragondeal.Workspace, []float64) {
	weights := []float64{8, 6, 4, 1, 1, 1, 1, 1, 1, 1}
	out := make([]tarragondeal.Workspace, len(weights))
	for n := range out {
		out[n] = tarragondeal.Workspace{Name: fmt.Sprintf("%s%d", prefix, n+1), DataCentres: dataCentres}
	}
	return out, weights
}

func class(name string, tier int, firstToken, deadline time.Duration, minShare float64) tarragondeal.RequestClass {
	return tarragondeal.RequestClass{
		Name: name, Tier: tier, FirstToken: tarragondeal.Duration(firstToken),
		BetweenTokens: tarragondeal.Duration(100 * time.Millisecond),
		Deadline:      tarragondeal.Duration(deadline), Objective: 0.95, MinShare: minShare,
	}
}

func booking(name string, tier int) tarragondeal.RequestClass {
	return tarragondeal.RequestClass{
		Name: name, Tier: tier, Completion: tarragondeal.Duration(500 * time.Millisecond),
		Deadline: tarragondeal.Duration(5 * time.Second), Objective: 0.99,
	}
}
