package tdowner

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
)

const (
	// takeOverTimeout is the timeout of a TakeOver call to one node.
	takeOverTimeout = 500 * time.Millisecond
	// handOverTimeout is how long a server that another node owns now is kept
	// while waiting for that node to take it over.
	handOverTimeout = 2 * time.Second
)

// takeover is the takeover of one server.
type takeover struct {
	awaited map[tarragondeal.NodeID]bool
}

func newTakeover(p *Placement, self tarragondeal.NodeID) *takeover {
	t := &takeover{awaited: make(map[tarragondeal.NodeID]bool)}
	for n := range p.live {
		if n != self {
			t.awaited[n] = true
		}
	}
	return t
}

func (t *Table) has(id tarragondeal.ServerID) bool {
	_, ok := t.servers[id]
	return ok
}

// handOverExpired reports whether a server that another node owns has been kept
// for longer than handOverTimeout. The first call starts the timeout.
func (t *Table) handOverExpired(now tarragondeal.Instant, id tarragondeal.ServerID) bool {
	st := t.servers[id]
	if st.lostAt == 0 {
		st.lostAt = now
	}
	return now.Sub(st.lostAt) > handOverTimeout
}

// extendSync restarts the sync timeout of a server, since another node still
// claims ownership.
func (t *Table) extendSync(now tarragondeal.Instant, id tarragondeal.ServerID) {
	if st, ok := t.servers[id]; ok {
		st.syncDeadline = now.Add(syncTimeout)
	}
}

// takeOverResult is the result of a TakeOver call to one node.
type takeOverResult struct {
	node    tarragondeal.NodeID
	servers []tarragondeal.ServerID
	reply   *TakeOverReply
	err     error
}

// RunTakeovers takes over the servers that this node has become the owner of,
// until ctx is done.
func (o *Owner) RunTakeovers(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		o.collectGrants(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// collectGrants asks the nodes that have not answered yet for the grants that
// run on the servers being taken over, and finishes the takeovers for which all
// nodes have answered.
func (o *Owner) collectGrants(ctx context.Context) {
	ask := make(map[tarragondeal.NodeID][]tarragondeal.ServerID)
	o.mu.Lock()
	for id, t := range o.takeovers {
		o.addOwnGrants(id)
		for n := range t.awaited {
			ask[n] = append(ask[n], id)
		}
	}
	o.mu.Unlock()
	results := make(chan takeOverResult, len(ask))
	var wg conc.WaitGroup
	for n, servers := range ask {
		wg.Go(func() { results <- o.queryNode(ctx, n, servers) })
	}
	wg.Wait()
	close(results)
	o.mu.Lock()
	defer o.mu.Unlock()
	for r := range results {
		o.handleResult(r)
	}
	o.finishTakeovers()
}

// addOwnGrants adds the grants that this node's own requests hold.
func (o *Owner) addOwnGrants(id tarragondeal.ServerID) {
	if o.holder == nil {
		return
	}
	for _, h := range o.holder.Held([]tarragondeal.ServerID{id}, o.self) {
		o.table.AddRunning(o.Clock.Now(), h)
	}
}

func (o *Owner) queryNode(ctx context.Context, n tarragondeal.NodeID, servers []tarragondeal.ServerID) takeOverResult {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	r := takeOverResult{node: n, servers: servers}
	conn, err := o.Links.Conn(n)
	if err != nil {
		r.err = err
		return r
	}
	in := &TakeOverRequest{Node: string(o.self)}
	for _, id := range servers {
		in.Servers = append(in.Servers, string(id))
	}
	r.reply, r.err = NewOwnersClient(conn).TakeOver(ctx, in)
	return r
}

func (o *Owner) handleResult(r takeOverResult) {
	if r.err != nil && !o.isDown(r) {
		return
	}
	now := o.Clock.Now()
	denied := make(map[string]bool)
	for _, id := range r.reply.GetDenied() {
		denied[id] = true
	}
	for _, h := range r.reply.GetHeld() {
		o.table.AddRunning(now, h)
	}
	for _, id := range r.servers {
		t, ok := o.takeovers[id]
		switch {
		case ok && denied[string(id)]:
			o.table.extendSync(now, id)
		case ok:
			delete(t.awaited, r.node)
		}
	}
}

// isDown reports whether a node refuses connections and is suspected or no longer
// a member. Calls to a node that is paused or partitioned time out instead.
func (o *Owner) isDown(r takeOverResult) bool {
	if status.Code(r.err) != codes.Unavailable {
		return false
	}
	for _, m := range o.Members.Members() {
		if m.Node == r.node {
			return m.State == tarragondeal.MemberSuspect
		}
	}
	return true
}

// finishTakeovers marks the servers as synced for which every live node has
// answered.
func (o *Owner) finishTakeovers() {
	now, p := o.Clock.Now(), o.placement.Load()
	for id, t := range o.takeovers {
		for n := range t.awaited {
			if !p.Live(n) {
				delete(t.awaited, n)
			}
		}
		if len(t.awaited) == 0 || o.table.Synced(id) {
			o.table.SetSynced(now, id)
			delete(o.takeovers, id)
		}
	}
}

// TakeOver implements OwnersServer. It releases the servers that the calling node
// takes over and returns their running grants.
func (o *Owner) TakeOver(_ context.Context, in *TakeOverRequest) (*TakeOverReply, error) {
	out := &TakeOverReply{}
	newOwner := tarragondeal.NodeID(in.GetNode())
	p := o.placement.Load().Next(o.Site.Servers(), o.Members.Members(), o.Site.Region)
	var released []tarragondeal.ServerID
	o.mu.Lock()
	for _, name := range in.GetServers() {
		id := tarragondeal.ServerID(name)
		// A server that this node owns by its current view of the membership is
		// not released, even if this node has yet to take it over.
		if p.Owner(id) == o.self && newOwner != o.self {
			out.Denied = append(out.Denied, name)
			continue
		}
		released = append(released, id)
		delete(o.takeovers, id)
		out.Held = append(out.Held, o.table.Remove(id)...)
	}
	o.mu.Unlock()
	if o.holder != nil {
		out.Held = append(out.Held, o.holder.Held(released, newOwner)...)
	}
	return out, nil
}
