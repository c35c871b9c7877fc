package tddemand

import (
	"context"
	"errors"
	"slices"
	"sync"

	"tarragondeal"
)

type poolKey struct{ pool, dataCentre string }

// Counter is a dispatcher that counts the requests that pass through it.
type Counter struct {
	tarragondeal.Dispatcher
	UnimplementedDemandsServer
	dataCentre string
	mu         sync.Mutex
	counts     map[poolKey]*Line
	running    map[grantKey]runningRequest
}

type grantKey struct {
	owner tarragondeal.NodeID
	id    tarragondeal.GrantID
	epoch uint64
}

// runningRequest records how a running request was counted.
type runningRequest struct {
	key        poolKey
	withTarget bool
}

// New returns a counter that wraps a dispatcher, for a node in a data centre.
func New(d tarragondeal.Dispatcher, dataCentre string) *Counter {
	return &Counter{
		Dispatcher: d, dataCentre: dataCentre,
		counts: make(map[poolKey]*Line), running: make(map[grantKey]runningRequest),
	}
}

// Reserve waits for a grant and counts the request meanwhile.
func (c *Counter) Reserve(ctx context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	key, withTarget := c.queueKey(a), a.Target > 0
	c.update(key, withTarget, func(l *Line) { l.Queued++ }, 1)
	g, err := c.Dispatcher.Reserve(ctx, a)
	c.update(key, withTarget, func(l *Line) { l.Queued-- }, -1)
	if err != nil {
		c.countRefusal(key, err)
		return g, err
	}
	runningKey := poolKey{g.Server.Pool, g.Server.DataCentre}
	c.update(runningKey, withTarget, func(l *Line) { l.Running++ }, 1)
	c.mu.Lock()
	c.running[grantKeyOf(g)] = runningRequest{runningKey, withTarget}
	c.mu.Unlock()
	return g, nil
}

// Done ends a grant.
func (c *Counter) Done(g tarragondeal.Grant, o tarragondeal.Outcome) {
	c.mu.Lock()
	was, ok := c.running[grantKeyOf(g)]
	delete(c.running, grantKeyOf(g))
	c.mu.Unlock()
	if ok {
		c.update(was.key, was.withTarget, func(l *Line) { l.Running-- }, -1)
	}
	c.Dispatcher.Done(g, o)
}

func grantKeyOf(g tarragondeal.Grant) grantKey { return grantKey{g.Owner, g.ID, g.Epoch} }

func (c *Counter) queueKey(a tarragondeal.Ask) poolKey {
	var key poolKey
	if len(a.Pools) > 0 {
		key.pool = a.Pools[0]
	}
	if len(a.DataCentres) > 0 {
		key.dataCentre = a.DataCentres[0]
	}
	if slices.Contains(a.DataCentres, c.dataCentre) {
		key.dataCentre = c.dataCentre
	}
	return key
}

// countRefusal counts a request that was refused for lack of servers.
func (c *Counter) countRefusal(key poolKey, err error) {
	var r *tarragondeal.RefusedError
	if !errors.As(err, &r) {
		return
	}
	switch r.Reason {
	case tarragondeal.ReasonOverload, tarragondeal.ReasonNoServer, tarragondeal.ReasonDeadline:
		c.update(key, false, func(l *Line) { l.Shed++ }, 0)
	}
}

func (c *Counter) update(key poolKey, withTarget bool, edit func(*Line), by int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.counts[key]
	if l == nil {
		l = &Line{Pool: key.pool, DataCentre: key.dataCentre}
		c.counts[key] = l
	}
	edit(l)
	if withTarget {
		l.Promised += by
	}
}

// Read returns the demand at this node and resets the counts of refused
// requests.
func (c *Counter) Read(context.Context, *ReadRequest) (*ReadAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &ReadAnswer{}
	for key, l := range c.counts {
		out.Lines = append(out.Lines, &Line{
			Pool: l.Pool, DataCentre: l.DataCentre, Running: l.Running, Queued: l.Queued, Promised: l.Promised, Shed: l.Shed,
		})
		l.Shed = 0
		if l.Running == 0 && l.Queued == 0 {
			delete(c.counts, key)
		}
	}
	return out, nil
}
