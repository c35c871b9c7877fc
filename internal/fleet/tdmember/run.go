package tdmember

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/base/tdring"
)

const (
	// batchDelay is how long urgent updates are collected before they are sent.
	batchDelay = 30 * time.Millisecond
	// levelInterval is the interval at which levels that announce no new
	// version are sent and published.
	levelInterval = 150 * time.Millisecond
	// syncHeartbeats is the number of consecutive heartbeats with different
	// digests after which the tables are compared.
	syncHeartbeats = 3
	probeHelpers   = 2 // Nodes asked to contact an unresponsive one.
	callQueueSize  = 256
)

// Run maintains the membership until ctx ends.
func (m *Members) Run(ctx context.Context, links Links) error {
	r := &runner{m: m, links: links, calls: tdring.New[call](callQueueSize)}
	var wg conc.WaitGroup
	for range callWorkers {
		wg.Go(func() { r.work(ctx) })
	}
	wg.Go(func() { r.join(ctx) })
	r.loop(ctx)
	wg.Wait()
	return nil
}

// callWorkers is the maximum number of concurrent calls to peers.
const callWorkers = 16

// call is a queued exchange with a node or an indirect probe of it.
type call struct {
	to    tarragondeal.Member
	probe bool
}

type runner struct {
	m     *Members
	links Links
	calls *tdring.Ring[call]
}

func (r *runner) loop(ctx context.Context) {
	tick, levels := time.NewTicker(r.m.opt.Every), time.NewTicker(levelInterval)
	defer tick.Stop()
	defer levels.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.tick()
		case <-levels.C:
			r.m.publishLevels()
			r.scheduleExchanges(func(p *peer) bool { return len(p.pending) > 0 })
		case <-r.m.wake:
			sleep(ctx, batchDelay)
			r.scheduleExchanges(func(p *peer) bool { return p.urgent })
		}
	}
}

// tick detects pauses, expires suspected nodes and schedules heartbeats.
func (r *runner) tick() {
	m := r.m
	m.mu.Lock()
	now := m.opt.Clock.Now()
	if m.paused(now) {
		m.resume(now)
	}
	m.lastTick = now
	if died := m.table.expire(now); len(died) > 0 {
		for _, n := range died {
			m.opt.Log.Info().Str("member", string(n)).Msg("member is dead")
			m.enqueue(n, "", true, true)
		}
		m.publish()
	}
	m.removeIdlePeers(now)
	m.mu.Unlock()
	r.scheduleExchanges(func(p *peer) bool { return p.outgoing })
}

// publishLevels stores a snapshot if levels changed since the last one.
func (m *Members) publishLevels() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.levelsUnpublished {
		m.storeSnapshot()
	}
}

// resume resets all timeouts after a pause, since nodes that seem unresponsive
// may have sent heartbeats in the meantime. m.mu must be held.
func (m *Members) resume(now tarragondeal.Instant) {
	m.opt.Log.Warn().Dur("pause", now.Sub(m.lastTick)).Msg("process was paused")
	m.opt.Scope.Counter("pauses").Inc(1)
	m.contacted = false
	m.table.restartSuspicion(now)
	for _, p := range m.peers {
		p.lastContact = now
	}
	close(m.resumed)
	m.resumed = make(chan struct{})
}

// scheduleExchanges queues an exchange with each peer selected by due, and a
// probe of those that are unresponsive.
func (r *runner) scheduleExchanges(due func(*peer) bool) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	for n, p := range m.peers {
		e, ok := m.table.entries[n]
		if !ok || !due(p) {
			continue
		}
		unresponsive := now.Sub(p.lastContact) > suspectHeartbeats*m.opt.Every
		if p.outgoing && unresponsive && !p.probing && e.State != tarragondeal.MemberSuspect {
			p.probing = r.calls.Push(call{to: e.Member, probe: true})
		}
		if !p.busy {
			p.busy = r.calls.Push(call{to: e.Member})
		}
	}
}

// work runs queued calls until ctx ends.
func (r *runner) work(ctx context.Context) {
	for {
		c, err := r.calls.Pop(ctx)
		if err != nil {
			return
		}
		if c.probe {
			r.probe(ctx, c.to)
		} else {
			r.exchange(ctx, c.to)
		}
	}
}

// exchange sends a heartbeat and merges the answer. It then compares tables if
// the digests have differed for too long.
func (r *runner) exchange(ctx context.Context, to tarragondeal.Member) {
	m := r.m
	m.mu.Lock()
	p := m.peers[to.Node]
	if p == nil {
		m.mu.Unlock()
		return
	}
	in := &Beat{From: string(m.table.self), Digest: combineDigests(m.table.digests())}
	m.fillBeat(p, in)
	_, known := m.table.entries[to.Node]
	in.Unknown = !known
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	out, err := m.call(ctx, r.links, to.Peer, in)
	m.mu.Lock()
	p.busy = false
	sync := false
	if err != nil || out.GetFrom() != string(to.Node) {
		m.opt.Scope.Counter("missedHeartbeats").Inc(1)
		m.requeue(p, in)
	} else {
		sync = m.handleAnswer(p, in, out)
	}
	m.mu.Unlock()
	if sync {
		r.sync(ctx, to)
	}
}

// requeue queues the updates of a failed heartbeat again. m.mu must be held.
func (m *Members) requeue(p *peer, in *Beat) {
	p.knowsSelf = false
	for _, r := range in.GetNews() {
		p.pending[tarragondeal.NodeID(r.GetNode())] = true
	}
	for _, id := range in.GetLevels().GetIds() {
		if n, ok := m.table.ids[id]; ok {
			p.pending[n] = p.pending[n] || false
		}
	}
}

// handleAnswer merges a peer's answer and reports whether tables should be
// compared. m.mu must be held.
func (m *Members) handleAnswer(p *peer, in, out *Beat) bool {
	m.recordContact(p.node)
	p.knowsSelf = !out.GetUnknown()
	m.mergeRecords(out.GetNews(), p.node)
	m.mergeLevels(out.GetLevels(), p.node)
	m.requestRefutation(p.node)
	if out.GetUnknown() || hasNews(in) || hasNews(out) || out.GetDigest() == combineDigests(m.table.digests()) {
		p.mismatches = 0
		return false
	}
	p.mismatches++
	if p.mismatches < syncHeartbeats {
		return false
	}
	p.mismatches = 0
	return true
}

// hasNews reports whether a heartbeat carries updates. Digests may differ then.
func hasNews(b *Beat) bool { return len(b.GetNews()) > 0 || len(b.GetLevels().GetIds()) > 0 }

// requestRefutation queues for a node its own record if it is not alive in this
// node's table although it answers, so that it raises its incarnation. m.mu
// must be held.
func (m *Members) requestRefutation(n tarragondeal.NodeID) {
	e, ok := m.table.entries[n]
	if p := m.peers[n]; ok && p != nil && e.State != tarragondeal.MemberAlive {
		p.pending[n] = true
	}
}

// probe asks other nodes to contact an unresponsive one, and marks it as
// suspected if none succeeds.
func (r *runner) probe(ctx context.Context, target tarragondeal.Member) {
	m := r.m
	ctx, cancel := context.WithTimeout(ctx, 2*m.callTimeout())
	defer cancel()
	addr, _ := target.Peer.MarshalBinary()
	asked, reached := r.probeIndirectly(ctx, target, &Target{Peer: addr, Node: string(target.Node)})
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	p := m.peers[target.Node]
	if p == nil {
		return
	}
	p.probing = false
	if reached {
		p.lastContact = now
	}
	if now.Sub(p.lastContact) <= suspectHeartbeats*m.opt.Every || m.table.entries[target.Node].Incarnation != target.Incarnation {
		return
	}
	if m.table.suspect(target.Node, now) {
		m.opt.Scope.Counter("suspicions").Inc(1)
		m.opt.Log.Info().Str("member", string(target.Node)).Int("helpers", asked).Msg("member is suspected")
		m.enqueue(target.Node, "", true, true)
		m.publish()
	}
}

// probeIndirectly asks random live nodes, up to probeHelpers of them, to contact
// an unresponsive one. It returns how many were asked and whether one succeeded.
func (r *runner) probeIndirectly(ctx context.Context, target tarragondeal.Member, in *Target) (asked int, reached bool) {
	others := r.m.Members()
	self := r.m.Self().Node
	for _, n := range rand.Perm(len(others)) {
		o := others[n]
		if o.Node == self || o.Node == target.Node || o.State != tarragondeal.MemberAlive {
			continue
		}
		asked++
		conn, err := r.links.Dial(o.Peer)
		if err == nil {
			out, err := NewMembershipClient(conn).Probe(ctx, in)
			if err == nil && out.GetOk() {
				return asked, true
			}
		}
		if asked == probeHelpers {
			break
		}
	}
	return asked, false
}

// sync compares tables with a node and merges the records that differ.
func (r *runner) sync(ctx context.Context, to tarragondeal.Member) {
	m := r.m
	conn, err := r.links.Dial(to.Peer)
	if err != nil {
		return
	}
	m.mu.Lock()
	ds := m.table.digests()
	in := &Digests{Self: encode(m.table.entries[m.table.self]), Buckets: ds[:]}
	m.mu.Unlock()
	out, err := NewMembershipClient(conn).Sync(ctx, in)
	if err != nil {
		return
	}
	m.opt.Scope.Counter("syncs").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeRecords(out.GetRecords(), to.Node)
	m.enqueueMissing(to.Node, out.GetRecords(), ds)
}

// enqueueMissing queues for a peer the entries of differing buckets that its
// answer to a comparison lacked. m.mu must be held.
func (m *Members) enqueueMissing(n tarragondeal.NodeID, got []*Record, ds [buckets]uint64) {
	p := m.peers[n]
	if p == nil || len(got) == 0 {
		return
	}
	received := make(map[tarragondeal.NodeID]bool, len(got))
	differs := make(map[uint64]bool)
	for _, r := range got {
		received[tarragondeal.NodeID(r.GetNode())] = true
		differs[bucket(tarragondeal.NodeID(r.GetNode()))] = true
	}
	for name := range m.table.entries {
		if differs[bucket(name)] && !received[name] {
			p.pending[name] = true
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
