package tarragondeal

import (
	"net/netip"
	"time"
)

// VM describes an entry VM and its deployment, as passed to the process at its
// start.
type VM struct {
	Node       NodeID
	DataCentre string
	Region     string
	Regions    map[string]string // The region of each data centre.

	Callers   netip.AddrPort // Listens for requests of callers.
	Ready     netip.AddrPort // Listens for the platform's readiness checks.
	Addresses netip.AddrPort // Listens for callers' lookups of entry addresses.
	Peer      netip.AddrPort // Listens for connections of other nodes.
	Metrics   netip.AddrPort
	Store     netip.AddrPort
	Orders    netip.AddrPort // Destination of orders and usage reports.

	// FirstStart is true when the whole deployment starts for the first time.
	FirstStart  bool
	MemoryBytes int64
	Processor   float64 // CPU limit of the process, in cores.
	// Scarce is set if callers may ask for more than the backend servers have room for.
	Scarce bool
	Bounds Bounds
}

// Bounds are the time and retry limits that the deployment guarantees.
type Bounds struct {
	Drain       time.Duration // Until a leaving server gets no new work.
	Grace       time.Duration // From the stop signal until the process is killed.
	Config      time.Duration // Until an accepted configuration is in force.
	RetryRatio  float64       // Retries per request to a pool.
	RetrySlack  float64       // Retries in addition to those, in the fleet.
	RetryWindow time.Duration // Period over which retries are counted.
	LeaseTTL    time.Duration // Of the lease of a duty.
	Window      time.Duration // Length of a usage window.
	UsageDue    time.Duration // From a window's end until it must be reported.
	AddressTTL  time.Duration // Longest time that callers cache an address lookup.
	MinLease    time.Duration // Shortest lease that the store grants.
	ColdExcess  float64       // Requests that a cold server may get in a second, relative to its rate.
	ColdSlack   float64       // Requests that it may get in addition.
}
