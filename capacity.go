package tarragondeal

import "context"

// Demand is what the backend servers of one pool in one data centre are asked
// to do now.
type Demand struct {
	Pool       string
	DataCentre string
	Running    int // Requests that run.
	Queued     int // Requests that wait for a server.
	// Promised is how many of them belong to classes with a target.
	Promised int
	// Shed is how many requests were refused for want of servers since the
	// last reading.
	Shed int
}

// DemandReader tells the order duty what is asked for in the whole fleet. It
// returns a line for each pool and data centre that it knows of; one that is
// missing is unknown, which is not the same as none.
type DemandReader interface {
	Demand(ctx context.Context) ([]Demand, error)
}
