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

// Node is the name and address of an entry VM.
type Node struct {
	Name string
	Addr netip.AddrPort
}

// Callers sends the requests of a run and records their outcomes.
type Callers struct {
	deployment *tddeploy.Deployment
	view       *tarragondeal.View
	keys       []string // Key texts by workspace.
	client     *http.Client
	recorder   *recorder

	mu        sync.Mutex
	nodes     []Node
	withdrawn []time.Time // By workspace; zero for a key that is valid.
	rand      *rand.Rand
}

// New returns callers that use keys, one for each workspace of d, and send
// to nodes.
func New(d *tddeploy.Deployment, keys []string, nodes []Node) *Callers {
	return &Callers{
		deployment: d, view: tarragondeal.NewView(1, d.Set), keys: keys, nodes: nodes, recorder: &recorder{},
		withdrawn: make([]time.Time, len(d.Set.Workspaces)),
		rand:      rand.New(rand.NewPCG(1, 2)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256, DisableCompression: true,
		}},
	}
}

// SetNodes sets the entry VMs that later requests are sent to.
func (c *Callers) SetNodes(nodes []Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = slices.Clone(nodes)
}

// Workspaces returns the number of workspaces.
func (c *Callers) Workspaces() int { return len(c.keys) }

// KeyName returns the name of the workspace's key.
func (c *Callers) KeyName(workspace int) string { return c.deployment.Set.Workspaces[workspace].Name }

// SetWithdrawn records when the key of a workspace was withdrawn. Only the
// first call for a workspace has an effect.
func (c *Callers) SetWithdrawn(workspace int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawn[workspace].IsZero() {
		c.withdrawn[workspace] = at
	}
}

// Run sends the planned requests at their times after start. It waits until all
// have ended and returns their records.
func (c *Callers) Run(ctx context.Context, start time.Time, plan []Arrival) []tdcheck.Request {
	var wg conc.WaitGroup
	for n, a := range plan {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		wg.Go(func() { c.sendWithRetries(ctx, n, a, start.Add(a.At)) })
	}
	wg.Wait()
	c.client.CloseIdleConnections()
	return c.recorder.requests
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

// maxAttempts is the number of times that a caller sends a non-idempotent
// request, including the first.
const maxAttempts = 4

// sendWithRetries sends one request. A non-idempotent request is sent again,
// to a random entry VM and with the same idempotency key, until the
// caller knows its outcome.
func (c *Callers) sendWithRetries(ctx context.Context, n int, a Arrival, intended time.Time) {
	m := c.newMessage(n, a)
	for attempt := range maxAttempts {
		q := c.newRequest(n, attempt, a, intended)
		c.send(ctx, m, &q)
		c.recorder.add(q)
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

// newRequest returns the record of an attempt before it is sent.
func (c *Callers) newRequest(n, attempt int, a Arrival, intended time.Time) tdcheck.Request {
	ws := &c.deployment.Set.Workspaces[a.Workspace]
	route := c.view.Routes[a.Demand.Route]
	class := c.view.RequestClasses[route.Class]
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fmt.Sprintf("q-%d", n)
	body := id
	if attempt > 0 {
		id = fmt.Sprintf("q-%d-%d", n, attempt)
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

// pickNode returns a random entry VM, preferably not the one named avoid.
func (c *Callers) pickNode(avoid string) Node {
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

// recorder collects the request records of concurrent callers.
type recorder struct {
	mu       sync.Mutex
	requests []tdcheck.Request
}

func (r *recorder) add(q tdcheck.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}
