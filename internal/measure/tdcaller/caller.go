package tdcaller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdplace"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/standin/tdcheck"
)

// Node is an entry VM as callers know it.
type Node struct {
	Name string
	Addr netip.AddrPort
}

// Callers sends the requests of a run.
type Callers struct {
	deploy *tddeploy.Deployment
	view   *tarragondeal.View
	keys   []string // By workspace.
	client *http.Client
	log    *log

	mu        sync.Mutex
	nodes     []Node
	withdrawn []time.Time // By workspace; zero if not.
	rand      *rand.Rand
}

// New returns callers that hold a key for each workspace.
func New(d *tddeploy.Deployment, keys []string, nodes []Node) *Callers {
	return &Callers{
		deploy: d, view: tarragondeal.NewView(1, d.Set), keys: keys, nodes: nodes, log: &log{},
		withdrawn: make([]time.Time, len(d.Set.Workspaces)),
		rand:      rand.New(rand.NewPCG(1, 2)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256, DisableCompression: true,
		}},
	}
}

// SetNodes tells callers which entry VMs to use from now on.
func (c *Callers) SetNodes(nodes []Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = slices.Clone(nodes)
}

// Workspaces returns how many workspaces have callers.
func (c *Callers) Workspaces() int { return len(c.keys) }

// KeyName returns the name of a workspace's key.
func (c *Callers) KeyName(workspace int) string { return c.deploy.Set.Workspaces[workspace].Name }

// Withdrawn notes that the key of a workspace stopped being good.
func (c *Callers) Withdrawn(workspace int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawn[workspace].IsZero() {
		c.withdrawn[workspace] = at
	}
}

// Run sends the plan's requests at their times from start on, and returns
// what came of them when all have ended.
func (c *Callers) Run(ctx context.Context, start time.Time, plan []Arrival) []tdcheck.Request {
	var wg conc.WaitGroup
	for n, a := range plan {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		wg.Go(func() { c.one(ctx, n, a, start.Add(a.At)) })
	}
	wg.Wait()
	c.client.CloseIdleConnections()
	return c.log.requests
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tries is how often a caller sends a non-idempotent request that it has no
// answer to.
const tries = 4

// one plays one caller. A caller with a non-idempotent request repeats it
// elsewhere until it knows what became of it.
func (c *Callers) one(ctx context.Context, n int, a Arrival, intended time.Time) {
	m := c.message(n, a)
	for try := range tries {
		q := c.base(n, try, a, intended)
		c.send(ctx, m, &q)
		c.log.add(q)
		settled := q.Status == http.StatusOK || q.Status == http.StatusUnauthorized || ctx.Err() != nil
		if settled || q.Idempotent {
			return
		}
		wait := min(max(q.RetryAfter, 200*time.Millisecond), 2*time.Second)
		if !sleepUntil(ctx, time.Now().Add(wait)) {
			return
		}
		intended = time.Now()
	}
}

func (c *Callers) base(n, try int, a Arrival, intended time.Time) tdcheck.Request {
	ws := &c.deploy.Set.Workspaces[a.Workspace]
	route := c.view.Routes[a.Demand.Route]
	class := c.view.RequestClasses[route.Class]
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fmt.Sprintf("q-%d", n)
	body := id
	if try > 0 {
		id = fmt.Sprintf("q-%d-%d", n, try)
	}
	if a.Poison {
		body = "poison"
	}
	return tdcheck.Request{
		ID: id, Body: body, Workspace: ws.Name, Route: route.Name, Class: class.Name, Tier: class.Tier,
		Pools: route.Pools, Permitted: tdplace.Permitted(c.view, ws, route), Idempotent: !route.NonIdempotent,
		KeyText: c.keys[a.Workspace], Withdrawn: c.withdrawn[a.Workspace], Intended: intended,
	}
}

// node picks an entry VM, another than avoid if there is one.
func (c *Callers) node(avoid string) Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 4 {
		n := c.nodes[c.rand.IntN(len(c.nodes))]
		if n.Name != avoid || len(c.nodes) == 1 {
			return n
		}
	}
	return c.nodes[0]
}

// log gathers requests from all callers.
type log struct {
	mu       sync.Mutex
	requests []tdcheck.Request
}

func (l *log) add(q tdcheck.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
}
