package tdslope

import (
	"fmt"
	"time"

	"tarragondeal"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdplatform"
	"tarragondeal/internal/standin/tdservice"
)

const (
	dataCentreCount      = 4
	fastSlots            = 64
	slowSlots            = 512
	serviceSlots         = 64
	storeWritesPerSecond = 400
	storeReadsPerSecond  = 2000
	prefill              = 5 * time.Millisecond
	fastToken            = 10 * time.Millisecond
	slowToken            = 2 * time.Second
	serviceWork          = 5 * time.Millisecond
	deadline             = 5 * time.Minute
	maxTokens            = 4096
	cacheBlocks          = 512
	prefixBytes          = 256
	minWorkspaces        = 10
	unreachedLimit       = 1000 // Requests per second, above every load of the sweeps.
)

// Each name is that of a route and of its request class and server pool.
const (
	fastName = "fast"
	slowName = "slow"
	bookName = "book"
)

// fleetSize is the size of a fleet and of its stand-ins.
type fleetSize struct {
	nodes       int
	engines     int // In the fast pool.
	workspaces  int
	limited     int  // Workspaces with a limit.
	slowAndBook bool // Whether there are servers for the slow and the book route.
}

// deployment returns a deployment with two regions of two data centres each.
func deployment(s fleetSize) *tddeploy.Deployment {
	d := &tddeploy.Deployment{
		Name: "capacity", Set: &tarragondeal.Set{},
		Spec: tdcluster.Spec{Platform: tdplatform.Options{WritesPerSecond: storeWritesPerSecond, ReadsPerSecond: storeReadsPerSecond}},
	}
	for n := range dataCentreCount {
		dc := tarragondeal.DataCentre{Name: fmt.Sprintf("dc%d", n), Region: fmt.Sprintf("region%d", n%2)}
		d.Set.DataCentres = append(d.Set.DataCentres, dc)
		d.Spec.Groups = append(d.Spec.Groups, serverGroups(dc.Name, s.engines/dataCentreCount, s.slowAndBook)...)
	}
	for n := range s.nodes {
		d.Nodes = append(d.Nodes, fmt.Sprintf("dc%d", n%dataCentreCount))
	}
	for n := range max(s.workspaces, s.limited, minWorkspaces) {
		ws := tarragondeal.Workspace{Name: fmt.Sprintf("workspace%d", n)}
		if n < s.limited {
			ws.Limits.RequestsPerSecond = unreachedLimit
		}
		for _, dc := range d.Set.DataCentres {
			ws.DataCentres = append(ws.DataCentres, dc.Name)
		}
		d.Set.Workspaces = append(d.Set.Workspaces, ws)
	}
	addRoutes(d.Set)
	return d
}

func serverGroups(dataCentre string, engines int, slowAndBook bool) []tdcluster.Group {
	engine := func(slots int, perToken time.Duration) *tdengine.Options {
		return &tdengine.Options{Slots: slots, Prefill: prefill, PerToken: perToken, CacheBlocks: cacheBlocks, ChecksFence: true}
	}
	out := []tdcluster.Group{{Pool: fastName, DataCentre: dataCentre, Count: engines, Engine: engine(fastSlots, fastToken)}}
	if slowAndBook {
		out = append(out,
			tdcluster.Group{Pool: slowName, DataCentre: dataCentre, Count: 2, Engine: engine(slowSlots, slowToken)},
			tdcluster.Group{Pool: bookName, DataCentre: dataCentre, Count: 1,
				Service: &tdservice.Options{Slots: serviceSlots, Work: serviceWork}})
	}
	return out
}

// addRoutes adds the routes with their request classes and server pools.
func addRoutes(s *tarragondeal.Set) {
	class := func(name string, tier int) tarragondeal.RequestClass {
		return tarragondeal.RequestClass{
			Name: name, Tier: tier, Completion: tarragondeal.Duration(deadline),
			Deadline: tarragondeal.Duration(deadline), Objective: 0.95,
		}
	}
	s.RequestClasses = []tarragondeal.RequestClass{class(fastName, 1), class(slowName, 2), class(bookName, 1)}
	s.ServerPools = []tarragondeal.ServerPool{
		{Name: fastName, Kind: tarragondeal.PoolModel, Model: "fast", Slots: fastSlots, ChecksFencing: true},
		{Name: slowName, Kind: tarragondeal.PoolModel, Model: "slow", Slots: slowSlots, ChecksFencing: true},
		{Name: bookName, Kind: tarragondeal.PoolService, Slots: serviceSlots},
	}
	s.Routes = []tarragondeal.Route{
		{Name: fastName, Class: fastName, Pools: []string{fastName}},
		{Name: slowName, Class: slowName, Pools: []string{slowName}},
		{Name: bookName, Class: bookName, Pools: []string{bookName}, NonIdempotent: true},
	}
}
