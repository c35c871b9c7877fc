// Package tdbaseline holds the simple dispatchers that the real one is
// measured against. Each works on this node's own knowledge alone.
//
// # Usage
//
//	d := tdbaseline.New(tdbaseline.RoundRobin, servers, clock)
//	grant, err := d.Reserve(ctx, ask)
package tdbaseline

import (
	"context"
	"fmt"
	"sync"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdplace"
)

// Policy names a way to choose.
type Policy string

// The policies.
const (
	RoundRobin       Policy = "roundRobin"
	LeastOutstanding Policy = "leastOutstanding"
	PowerOfTwo       Policy = "powerOfTwo"
)

// Servers tells which backend servers there are.
type Servers interface {
	Servers() []tarragondeal.Server
}

// Dispatcher chooses a server at once and never queues.
type Dispatcher struct {
	policy  Policy
	servers Servers
	mu      sync.Mutex
	turn    int
	running map[tarragondeal.ServerID]int
}

// New returns a dispatcher.
func New(p Policy, s Servers) *Dispatcher {
	return &Dispatcher{policy: p, servers: s, running: make(map[tarragondeal.ServerID]int)}
}

// Reserve returns a server at once, however busy it is.
func (d *Dispatcher) Reserve(_ context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	var fit []tarragondeal.Server
	for _, s := range d.servers.Servers() {
		if s.State == tarragondeal.VMLive && tdplace.Allows(&a, &s) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return tarragondeal.Grant{}, &tarragondeal.RefusedError{
			Reason: tarragondeal.ReasonNoServer, Ran: tarragondeal.RanNot,
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
	if d.policy != LeastOutstanding {
		return best
	}
	for _, s := range fit {
		if d.running[s.ID] < d.running[best.ID] {
			best = s
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
