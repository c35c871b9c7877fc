package tarragondeal

import "context"

// Demand is the current demand for the backend servers of one pool in one data
// centre, in requests.
type Demand struct {
	Pool       string
	DataCentre string
	Running    int // Requests that are running.
	Queued     int // Requests that are waiting for a server.
	// WithTarget is how many of these belong to classes with a target.
	WithTarget int
	// Shed is how many requests were refused for lack of servers since the
	// previous reading.
	Shed int
}

// DemandReader returns the demand in the whole fleet, for the duty that orders
// servers. The result has one item for each pool and data centre whose demand
// is known. A missing item means unknown demand, not zero demand.
type DemandReader interface {
	Demand(ctx context.Context) ([]Demand, error)
}
