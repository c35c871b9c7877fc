package tdfit

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// Topic is the mesh topic on which nodes exchange their load.
const Topic = "load"

const (
	// maxSentLog bounds the log of sent requests: it holds what a fleet with
	// 2,000 requests a second sends between two messages of a relay.
	maxSentLog = 512
	// lostGrace is how long the load of a node counts after its stream has
	// ended. The node may open another stream, which sends its load again.
	lostGrace = 500 * time.Millisecond
	// peerRetention is how long the load of a silent peer is kept, which no longer counts: a
	// stream that was held up, and goes on, sends only what has changed.
	peerRetention = 10 * time.Minute
)

// sentEntry is a request that was sent to an engine. from is the peer that
// reported it, or empty for a request of this node.
type sentEntry struct {
	from tarragondeal.NodeID
	sent *Sent
}

// logSent appends a request of this node to the log for its peers.
func (f *Fit) logSent(open *openGrant) {
	m := &Sent{Server: string(open.server.ID), Fresh: uint32(min(open.uncached, math.MaxUint32))}
	for _, p := range open.request.prefixes {
		m.Chain = append(m.Chain, p.Digest)
		m.Tokens = append(m.Tokens, uint32(p.Tokens))
	}
	f.appendSent(sentEntry{sent: m})
}

func (f *Fit) appendSent(e sentEntry) {
	f.seq++
	f.sentLog = append(f.sentLog, e)
	if over := len(f.sentLog) - maxSentLog; over > 0 {
		f.sentLog = append(f.sentLog[:0], f.sentLog[over:]...)
	}
}

// Writer returns a function that encodes the changes since its last call, for
// one peer. They contain this node's load and that of the nodes for which include
// returns true.
func (f *Fit) Writer() func(include func(tarragondeal.NodeID) bool) []byte {
	var seq uint64
	uses := sentUses{last: make(map[tarragondeal.ServerID]use)}
	limits := make(map[serverRun]sentRate)
	brittle := make(map[serverRun]sentRate)
	leaving := make(map[serverRun]bool)
	pauses := make(map[nodePause]int64)
	first := true
	return func(include func(tarragondeal.NodeID) bool) []byte {
		f.mu.Lock()
		defer f.mu.Unlock()
		if first {
			seq = f.seq // Earlier requests no longer affect the load.
		}
		m := &Load{
			Sent: f.sentSince(seq, include),
			Uses: f.changedUses(&uses, include, f.Clock.Now()), Whole: first,
			Limits:  f.changedRates(f.limits, limits, f.Clock.Now()),
			Brittle: f.changedRates(f.brittle, brittle, f.Clock.Now()),
			Pauses:  f.newPauses(pauses),
			Leaving: f.newLeaving(leaving, f.Clock.Now()),
		}
		seq, first = f.seq, false
		out, err := proto.Marshal(m)
		if err != nil {
			f.Log.Error().Err(err).Msg("can't encode the load")
			return nil
		}
		return out
	}
}

func (f *Fit) sentSince(seq uint64, include func(tarragondeal.NodeID) bool) []*Sent {
	var out []*Sent
	for _, e := range f.sentLog[max(0, len(f.sentLog)-int(f.seq-seq)):] {
		if e.from == "" || include(e.from) {
			out = append(out, e.sent)
		}
	}
	return out
}

// usesInterval is how often the uses of all servers are compared with the last ones sent, and
// not only of those that have changed: uses of peers expire, and a peer may have become one
// whose load another node sends.
const usesInterval = 250 * time.Millisecond

// sentUses are the uses that were sent last on one stream.
type sentUses struct {
	last    map[tarragondeal.ServerID]use
	changes uint64               // Of all uses, when the last ones were sent.
	allAt   tarragondeal.Instant // When all were compared last.
}

// changeUse records that the use of a server changes.
func (f *Fit) changeUse(s *server) {
	f.useChanges++
	s.useChanged = f.useChanges
}

// changedUses returns the uses that differ from the last ones sent, and updates
// those.
func (f *Fit) changedUses(sent *sentUses, include func(tarragondeal.NodeID) bool, now tarragondeal.Instant) []*Use {
	all := now.Sub(sent.allAt) >= usesInterval
	if all {
		sent.allAt = now
	}
	changes := sent.changes
	sent.changes = f.useChanges
	var out []*Use
	for id, s := range f.servers {
		if !all && s.useChanged <= changes {
			continue
		}
		u := f.sumUse(s, include, now)
		if u == sent.last[id] {
			continue
		}
		if u == (use{}) {
			delete(sent.last, id)
		} else {
			sent.last[id] = u
		}
		out = append(out, &Use{
			Server: string(id), Running: uint32(max(0, u.running)), Tight: uint32(max(0, u.tight)),
			Tokens: uint64(max(0, u.tokens)), Failing: u.failing,
		})
	}
	return out
}

// Receive merges a load message of a peer.
func (f *Fit) Receive(from tarragondeal.NodeID, payload []byte) {
	var m Load
	if err := proto.Unmarshal(payload, &m); err != nil {
		f.Log.Warn().Err(err).Str("peer", string(from)).Msg("can't decode the load of a peer")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.lastHeard[from] = now
	f.receiveUses(from, &m)
	f.receiveSent(from, m.GetSent(), now)
	f.receiveRates(f.limits, from, m.GetLimits(), now)
	f.receiveRates(f.brittle, from, m.GetBrittle(), now)
	f.receivePauses(from, m.GetPauses(), now)
	f.receiveLeaving(from, m.GetLeaving(), now)
}

// Lost records that the stream of a peer has ended. Its load expires after
// lostGrace.
func (f *Fit) Lost(from tarragondeal.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastHeard[from] = min(f.lastHeard[from], f.Clock.Now().Add(lostGrace-peerUseTTL))
}

func (f *Fit) receiveUses(from tarragondeal.NodeID, m *Load) {
	if m.GetWhole() {
		for _, s := range f.servers {
			f.changeUse(s)
			delete(s.others, from)
		}
	}
	for _, u := range m.GetUses() {
		if s := f.servers[tarragondeal.ServerID(u.GetServer())]; s != nil {
			f.changeUse(s)
			s.setPeerUse(from, use{
				running: int(u.GetRunning()), tight: int(u.GetTight()), tokens: int(u.GetTokens()), failing: u.GetFailing(),
			})
			f.trimBacklog(s)
		}
	}
}

// setPeerUse records the load that a peer puts on the server. One that has ended is removed: each
// choice sums the loads of all peers at many servers.
func (s *server) setPeerUse(from tarragondeal.NodeID, u use) {
	if u == (use{}) {
		delete(s.others, from)
		return
	}
	s.others[from] = u
}

// evictPeers removes what is known of peers whose load has not been received for long.
func (f *Fit) evictPeers(now tarragondeal.Instant) {
	for node, at := range f.lastHeard {
		if now.Sub(at) <= peerRetention {
			continue
		}
		delete(f.lastHeard, node)
		for _, s := range f.servers {
			delete(s.others, node)
		}
	}
}

// receiveSent records the prompts that a peer reports as sent to engines.
func (f *Fit) receiveSent(from tarragondeal.NodeID, sent []*Sent, now tarragondeal.Instant) {
	for _, m := range sent {
		f.appendSent(sentEntry{from: from, sent: m})
		s := f.servers[tarragondeal.ServerID(m.GetServer())]
		if s == nil || s.engine == nil || len(m.GetChain()) != len(m.GetTokens()) {
			continue
		}
		prefixes := make([]prefix, 0, len(m.GetChain()))
		for n, digest := range m.GetChain() {
			prefixes = append(prefixes, prefix{Digest: digest, Tokens: int(m.GetTokens()[n])})
		}
		f.addPrompt(s, prompt{prefixes: prefixes, fresh: int(m.GetFresh())}, now)
	}
}
