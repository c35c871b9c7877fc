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
	// batchWait lets news gather before it is passed on.
	batchWait = 30 * time.Millisecond
	// levelWait is how long levels gather that announce nothing new.
	levelWait = 150 * time.Millisecond
	// syncBeats is how many heartbeats in a row digests differ before the
	// tables are compared.
	syncBeats = 3
	helpers   = 2 // Nodes asked to reach a silent one.
	callRing  = 256
)

// Run keeps the membership until ctx ends.
func (m *Members) Run(ctx context.Context, links Links) error {
	r := &runner{m: m, links: links, calls: tdring.New[call](callRing)}
	var wg conc.WaitGroup
	for range callers {
		wg.Go(func() { r.work(ctx) })
	}
	wg.Go(func() { r.join(ctx) })
	r.loop(ctx)
	wg.Wait()
	return nil
}

// callers is how many calls to peers run at once.
const callers = 16

// call is one call to make.
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
	tick, levels := time.NewTicker(r.m.opt.Every), time.NewTicker(levelWait)
	defer tick.Stop()
	defer levels.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.tick()
		case <-levels.C:
			r.m.showLevels()
			r.send(func(p *peer) bool { return len(p.pending) > 0 })
		case <-r.m.wake:
			sleep(ctx, batchWait)
			r.send(func(p *peer) bool { return p.urgent })
		}
	}
}

// tick sends the heartbeats that are due and looks for silent nodes.
func (r *runner) tick() {
	m := r.m
	m.mu.Lock()
	now := m.opt.Clock.Now()
	if m.late(now) {
		m.resume(now)
	}
	m.lastRun = now
	if died := m.table.expire(now); len(died) > 0 {
		for _, n := range died {
			m.opt.Log.Info().Str("member", string(n)).Msg("member is dead")
			m.spread(n, "", true, true)
		}
		m.publish()
	}
	m.trim(now)
	m.mu.Unlock()
	r.send(func(p *peer) bool { return p.out })
}

// showLevels shows readers what was learnt of levels since the last time.
func (m *Members) showLevels() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hidden {
		m.show()
	}
}

// resume starts over after a pause: whoever seemed silent may have spoken.
func (m *Members) resume(now tarragondeal.Instant) {
	m.opt.Log.Warn().Dur("pause", now.Sub(m.lastRun)).Msg("process was paused")
	m.opt.Scope.Counter("pauses").Inc(1)
	m.heard = false
	m.table.resume(now)
	for _, p := range m.peers {
		p.heard = now
	}
	close(m.resumed)
	m.resumed = make(chan struct{})
}

// send queues an exchange with each peer that due picks.
func (r *runner) send(due func(*peer) bool) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	for n, p := range m.peers {
		e, ok := m.table.entries[n]
		if !ok || !due(p) {
			continue
		}
		silent := now.Sub(p.heard) > suspectBeats*m.opt.Every
		if p.out && silent && !p.probing && e.State != tarragondeal.MemberSuspect {
			p.probing = r.calls.Push(call{to: e.Member, probe: true})
		}
		if !p.busy {
			p.busy = r.calls.Push(call{to: e.Member})
		}
	}
}

// work makes the calls that are queued.
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

// exchange sends a heartbeat and takes in the answer.
func (r *runner) exchange(ctx context.Context, to tarragondeal.Member) {
	m := r.m
	m.mu.Lock()
	p := m.peers[to.Node]
	if p == nil {
		m.mu.Unlock()
		return
	}
	in := &Beat{From: string(m.table.self), Digest: whole(m.table.digests())}
	m.news(p, in)
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
		m.unsent(p, in)
	} else {
		sync = m.answered(p, in, out)
	}
	m.mu.Unlock()
	if sync {
		r.sync(ctx, to)
	}
}

// unsent queues again what a peer did not get. The lock is held.
func (m *Members) unsent(p *peer, in *Beat) {
	p.known = false
	for _, r := range in.GetNews() {
		p.pending[tarragondeal.NodeID(r.GetNode())] = true
	}
	for _, id := range in.GetLevels().GetIds() {
		if n, ok := m.table.ids[id]; ok {
			p.pending[n] = p.pending[n] || false
		}
	}
}

// answered takes in a peer's answer, and reports whether tables should be
// compared. The lock is held.
func (m *Members) answered(p *peer, in, out *Beat) bool {
	m.hear(p.node)
	p.known = !out.GetUnknown()
	m.learn(out.GetNews(), p.node)
	m.hearLevels(out.GetLevels(), p.node)
	m.speak(p.node)
	if out.GetUnknown() || busy(in) || busy(out) || out.GetDigest() == whole(m.table.digests()) {
		p.differ = 0
		return false
	}
	p.differ++
	if p.differ < syncBeats {
		return false
	}
	p.differ = 0
	return true
}

// busy reports whether a heartbeat has news: digests may differ then.
func busy(b *Beat) bool { return len(b.GetNews()) > 0 || len(b.GetLevels().GetIds()) > 0 }

// speak tells a node that answers although it is suspected or dead here, so
// that it raises its incarnation. The lock is held.
func (m *Members) speak(n tarragondeal.NodeID) {
	e, ok := m.table.entries[n]
	if p := m.peers[n]; ok && p != nil && e.State != tarragondeal.MemberAlive {
		p.pending[n] = true
	}
}

// probe asks others whether they reach a silent node, and suspects it if
// none does.
func (r *runner) probe(ctx context.Context, silent tarragondeal.Member) {
	m := r.m
	ctx, cancel := context.WithTimeout(ctx, 2*m.callTimeout())
	defer cancel()
	addr, _ := silent.Peer.MarshalBinary()
	asked, reached := r.ask(ctx, silent, &Target{Peer: addr, Node: string(silent.Node)})
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opt.Clock.Now()
	p := m.peers[silent.Node]
	if p == nil {
		return
	}
	p.probing = false
	if reached {
		p.heard = now
	}
	if now.Sub(p.heard) <= suspectBeats*m.opt.Every || m.table.entries[silent.Node].Incarnation != silent.Incarnation {
		return
	}
	if m.table.suspect(silent.Node, now) {
		m.opt.Scope.Counter("suspicions").Inc(1)
		m.opt.Log.Info().Str("member", string(silent.Node)).Int("helpers", asked).Msg("member is suspected")
		m.spread(silent.Node, "", true, true)
		m.publish()
	}
}

func (r *runner) ask(ctx context.Context, silent tarragondeal.Member, in *Target) (asked int, reached bool) {
	others := r.m.Members()
	self := r.m.Self().Node
	for _, n := range rand.Perm(len(others)) {
		o := others[n]
		if o.Node == self || o.Node == silent.Node || o.State != tarragondeal.MemberAlive {
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
		if asked == helpers {
			break
		}
	}
	return asked, false
}

// sync compares tables with a node and takes in what it knows better.
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
	m.learn(out.GetRecords(), to.Node)
	m.teach(to.Node, out.GetRecords(), ds)
}

// teach queues for a peer what its answer to a comparison lacked. The lock
// is held.
func (m *Members) teach(n tarragondeal.NodeID, got []*Record, ds [buckets]uint64) {
	p := m.peers[n]
	if p == nil || len(got) == 0 {
		return
	}
	told := make(map[tarragondeal.NodeID]bool, len(got))
	differs := make(map[uint64]bool)
	for _, r := range got {
		told[tarragondeal.NodeID(r.GetNode())] = true
		differs[bucket(tarragondeal.NodeID(r.GetNode()))] = true
	}
	for name := range m.table.entries {
		if differs[bucket(name)] && !told[name] {
			p.pending[name] = true
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
