package tddemand

import (
	"context"
	"errors"
	"slices"
	"sync"

	"tarragondeal"
)

type place struct{ pool, dataCentre string }

// Counter is a dispatcher that counts what passes through it.
type Counter struct {
	tarragondeal.Dispatcher
	UnimplementedDemandsServer
	home    string
	mu      sync.Mutex
	counts  map[place]*Line
	running map[grantKey]counted
}

type grantKey struct {
	owner tarragondeal.NodeID
	id    tarragondeal.GrantID
	epoch uint64
}

// counted is how a running request was counted.
type counted struct {
	place    place
	promised bool
}

// New returns a counter around a dispatcher, for a node in a data centre.
func New(d tarragondeal.Dispatcher, dataCentre string) *Counter {
	return &Counter{
		Dispatcher: d, home: dataCentre,
		counts: make(map[place]*Line), running: make(map[grantKey]counted),
	}
}

// Reserve waits for a grant and counts the request meanwhile.
func (c *Counter) Reserve(ctx context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	at, promised := c.waitsAt(a), a.Target > 0
	c.change(at, promised, func(l *Line) { l.Queued++ }, 1)
	g, err := c.Dispatcher.Reserve(ctx, a)
	c.change(at, promised, func(l *Line) { l.Queued-- }, -1)
	if err != nil {
		c.refused(at, err)
		return g, err
	}
	where := place{g.Server.Pool, g.Server.DataCentre}
	c.change(where, promised, func(l *Line) { l.Running++ }, 1)
	c.mu.Lock()
	c.running[keyOf(g)] = counted{where, promised}
	c.mu.Unlock()
	return g, nil
}

// Done ends a grant.
func (c *Counter) Done(g tarragondeal.Grant, o tarragondeal.Outcome) {
	c.mu.Lock()
	was, ok := c.running[keyOf(g)]
	delete(c.running, keyOf(g))
	c.mu.Unlock()
	if ok {
		c.change(was.place, was.promised, func(l *Line) { l.Running-- }, -1)
	}
	c.Dispatcher.Done(g, o)
}

func keyOf(g tarragondeal.Grant) grantKey { return grantKey{g.Owner, g.ID, g.Epoch} }

func (c *Counter) waitsAt(a tarragondeal.Ask) place {
	var at place
	if len(a.Pools) > 0 {
		at.pool = a.Pools[0]
	}
	if len(a.DataCentres) > 0 {
		at.dataCentre = a.DataCentres[0]
	}
	if slices.Contains(a.DataCentres, c.home) {
		at.dataCentre = c.home
	}
	return at
}

// refused counts a request that more servers would have served.
func (c *Counter) refused(at place, err error) {
	var r *tarragondeal.RefusedError
	if !errors.As(err, &r) {
		return
	}
	switch r.Reason {
	case tarragondeal.ReasonOverload, tarragondeal.ReasonNoServer, tarragondeal.ReasonDeadline:
		c.change(at, false, func(l *Line) { l.Shed++ }, 0)
	}
}

func (c *Counter) change(at place, promised bool, edit func(*Line), by int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.counts[at]
	if l == nil {
		l = &Line{Pool: at.pool, DataCentre: at.dataCentre}
		c.counts[at] = l
	}
	edit(l)
	if promised {
		l.Promised += by
	}
}

// Read returns what this node's callers ask for, and begins to count anew
// what is refused.
func (c *Counter) Read(context.Context, *ReadRequest) (*ReadAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &ReadAnswer{}
	for at, l := range c.counts {
		out.Lines = append(out.Lines, &Line{
			Pool: l.Pool, DataCentre: l.DataCentre, Running: l.Running, Queued: l.Queued, Promised: l.Promised, Shed: l.Shed,
		})
		l.Shed = 0
		if l.Running == 0 && l.Queued == 0 {
			delete(c.counts, at)
		}
	}
	return out, nil
}
