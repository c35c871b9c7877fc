// Package tdbaseline implements simple load-balancing policies as baselines for
// measurements of the real dispatcher. Each uses only what this node knows.
//
// # Usage
//
//	d := tdbaseline.New(tdbaseline.PowerOfTwo, servers, loads, time.Second)
//	go func() { done <- d.Run(ctx) }()
//	grant, err := d.Reserve(ctx, ask)
package tdbaseline

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdplace"
)

// Policy is the name of a load-balancing policy.
type Policy string

// The policies.
const (
	// RoundRobin cycles through the servers.
	RoundRobin Policy = "roundRobin"
	// LeastOutstanding uses the server with the fewest of this node's own
	// requests.
	LeastOutstanding Policy = "leastOutstanding"
	// PowerOfTwo uses the less loaded of two random servers, according to their
	// last load reports.
	PowerOfTwo Policy = "powerOfTwo"
)

const (
	loadTimeout = 400 * time.Millisecond
	// maxLoadReads is the maximum number of concurrent load reads.
	maxLoadReads = 32
)

// Servers provides the listed backend servers.
type Servers interface {
	Servers() []tarragondeal.Server
}

// Dispatcher chooses a server immediately and never queues a request.
type Dispatcher struct {
	policy  Policy
	servers Servers
	reader  tarragondeal.LoadReader
	every   time.Duration
	mu      sync.Mutex
	next    int
	running map[tarragondeal.ServerID]int
	loads   map[tarragondeal.ServerID]int
}

// New returns a dispatcher. Run reads the servers' loads at the given interval.
func New(p Policy, s Servers, r tarragondeal.LoadReader, every time.Duration) *Dispatcher {
	return &Dispatcher{
		policy: p, servers: s, reader: r, every: every,
		running: make(map[tarragondeal.ServerID]int), loads: make(map[tarragondeal.ServerID]int),
	}
}

// Run reads the servers' load reports until ctx is done, if the policy uses
// them.
func (d *Dispatcher) Run(ctx context.Context) error {
	if d.policy != PowerOfTwo {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(d.every)
	defer t.Stop()
	for {
		reads := pool.New().WithMaxGoroutines(maxLoadReads)
		for _, s := range d.servers.Servers() {
			reads.Go(func() { d.read(ctx, s) })
		}
		reads.Wait()
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Dispatcher) read(ctx context.Context, s tarragondeal.Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := d.reader.Load(ctx, s)
	if err != nil {
		return // Keep the last report.
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads[s.ID] = l.Running + l.Queued
}

// Reserve returns a grant immediately, however busy the server is. The error is a
// *tarragondeal.RefusedError.
func (d *Dispatcher) Reserve(_ context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	var candidates []tarragondeal.Server
	for _, s := range d.servers.Servers() {
		if s.State == tarragondeal.VMLive && tdplace.Allows(&a, &s) && !slices.Contains(a.Avoid, s.ID) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return tarragondeal.Grant{}, &tarragondeal.RefusedError{
			Reason: tarragondeal.ReasonNoServer, Ran: tarragondeal.RanNot, RetryAfter: time.Second,
			Detail: "no backend server is up in a permitted data centre",
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.choose(candidates)
	d.running[s.ID]++
	return tarragondeal.Grant{
		ID:      tarragondeal.GrantID(fmt.Sprintf("%s.%d", a.Request, a.Attempt)),
		Request: a.Request, Attempt: a.Attempt, Server: s, Tier: a.Tier,
	}, nil
}

func (d *Dispatcher) choose(candidates []tarragondeal.Server) tarragondeal.Server {
	d.next++
	best := candidates[d.next%len(candidates)]
	switch d.policy {
	case LeastOutstanding:
		for _, s := range candidates {
			if d.running[s.ID] < d.running[best.ID] {
				best = s
			}
		}
	case PowerOfTwo:
		first, second := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
		best = first
		if d.loads[second.ID] < d.loads[first.ID] {
			best = second
		}
	}
	return best
}

// Valid always reports true.
func (d *Dispatcher) Valid(tarragondeal.Grant) bool { return true }

// Progress does nothing: the baselines do not use progress.
func (d *Dispatcher) Progress(tarragondeal.Grant, int) {}

// Done ends a grant.
func (d *Dispatcher) Done(g tarragondeal.Grant, _ tarragondeal.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[g.Server.ID]--
}

// MayRetry always allows a retry.
func (d *Dispatcher) MayRetry(tarragondeal.Ask) bool { return true }
