// Package tdbaseline holds the simple dispatchers that the real one is
// measured against. Each works on this node's own knowledge alone.
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

// Policy names a way to choose.
type Policy string

// The policies.
const (
	// RoundRobin takes the servers in turn.
	RoundRobin Policy = "roundRobin"
	// LeastOutstanding takes the server with the fewest of this node's own
	// requests.
	LeastOutstanding Policy = "leastOutstanding"
	// PowerOfTwo takes the less loaded of two random servers, by the servers'
	// last load reports.
	PowerOfTwo Policy = "powerOfTwo"
)

const (
	loadTimeout = 400 * time.Millisecond
	loadReads   = 32 // At once.
)

// Servers tells which backend servers there are.
type Servers interface {
	Servers() []tarragondeal.Server
}

// Dispatcher chooses a server at once and never queues.
type Dispatcher struct {
	policy  Policy
	servers Servers
	reader  tarragondeal.LoadReader
	every   time.Duration
	mu      sync.Mutex
	turn    int
	running map[tarragondeal.ServerID]int
	loads   map[tarragondeal.ServerID]int
}

// New returns a dispatcher. Loads are read at every interval by Run.
func New(p Policy, s Servers, r tarragondeal.LoadReader, every time.Duration) *Dispatcher {
	return &Dispatcher{
		policy: p, servers: s, reader: r, every: every,
		running: make(map[tarragondeal.ServerID]int), loads: make(map[tarragondeal.ServerID]int),
	}
}

// Run reads the servers' load reports until ctx ends, if the policy uses
// them.
func (d *Dispatcher) Run(ctx context.Context) error {
	if d.policy != PowerOfTwo {
		<-ctx.Done()
		return nil
	}
	t := time.NewTicker(d.every)
	defer t.Stop()
	for {
		reads := pool.New().WithMaxGoroutines(loadReads)
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
		return // The last report stays.
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loads[s.ID] = l.Running + l.Queued
}

// Reserve returns a server at once, however busy it is.
func (d *Dispatcher) Reserve(_ context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	var fit []tarragondeal.Server
	for _, s := range d.servers.Servers() {
		if s.State == tarragondeal.VMLive && tdplace.Allows(&a, &s) && !slices.Contains(a.Avoid, s.ID) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return tarragondeal.Grant{}, &tarragondeal.RefusedError{
			Reason: tarragondeal.ReasonNoServer, Ran: tarragondeal.RanNot, RetryAfter: time.Second,
			Detail: "no backend server is up in a permitted data centre",
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.choose(fit)
	d.running[s.ID]++
	return tarragondeal.Grant{
		ID:      tarragondeal.GrantID(fmt.Sprintf("%s.%d", a.Request, a.Attempt)),
		Request: a.Request, Attempt: a.Attempt, Server: s, Tier: a.Tier,
	}, nil
}

func (d *Dispatcher) choose(fit []tarragondeal.Server) tarragondeal.Server {
	d.turn++
	best := fit[d.turn%len(fit)]
	switch d.policy {
	case LeastOutstanding:
		for _, s := range fit {
			if d.running[s.ID] < d.running[best.ID] {
				best = s
			}
		}
	case PowerOfTwo:
		first, second := fit[rand.IntN(len(fit))], fit[rand.IntN(len(fit))]
		best = first
		if d.loads[second.ID] < d.loads[first.ID] {
			best = second
		}
	}
	return best
}

// Progress does nothing: the baselines look at no progress.
func (d *Dispatcher) Progress(tarragondeal.Grant, int) {}

// Done ends a grant.
func (d *Dispatcher) Done(g tarragondeal.Grant, _ tarragondeal.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[g.Server.ID]--
}

// MayRetry always allows a retry.
func (d *Dispatcher) MayRetry(tarragondeal.Ask) bool { return true }
