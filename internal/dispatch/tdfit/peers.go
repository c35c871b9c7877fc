package tdfit

import (
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// Topic is the fit's section of a node's state.
const Topic = "load"

const (
	// sentKept bounds the requests that are told in one state. At most so
	// many are sent between two states that get lost.
	sentKept = 48
	// encodeEvery is how long an encoded state is used again.
	encodeEvery = 15 * time.Millisecond
)

// logSent keeps a request to be told to the other nodes.
func (f *Fit) logSent(h *held) {
	f.seq++
	m := &Sent{Seq: f.seq, Server: string(h.s.ID), Fresh: uint32(h.fresh)}
	for _, l := range h.w.links {
		m.Chain = append(m.Chain, l.digest)
		m.Tokens = append(m.Tokens, uint32(l.tokens))
	}
	f.sentLog = append(f.sentLog, m)
	if over := len(f.sentLog) - sentKept; over > 0 {
		f.sentLog = append(f.sentLog[:0], f.sentLog[over:]...)
	}
}

// State returns what the other nodes are told.
func (f *Fit) State() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if f.told != nil && now.Sub(f.toldAt) < encodeEvery {
		return f.told
	}
	m := &Load{Sent: f.sentLog, Crashes: f.crashes.recent()}
	for id, s := range f.servers {
		if s.own.running > 0 || s.own.failing {
			m.Uses = append(m.Uses, &Use{
				Server: string(id), Running: uint32(s.own.running), Tight: uint32(s.own.tight),
				Tokens: uint64(max(0, s.own.tokens)), Failing: s.own.failing,
			})
		}
	}
	out, err := proto.Marshal(m)
	if err != nil {
		f.Log.Error().Err(err).Msg("load can't be encoded")
		return nil
	}
	f.told, f.toldAt = out, now
	return out
}

// Hear takes in what another node tells.
func (f *Fit) Hear(from tarragondeal.NodeID, payload []byte) {
	var m Load
	if err := proto.Unmarshal(payload, &m); err != nil {
		f.Log.Warn().Err(err).Str("peer", string(from)).Msg("load can't be read")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.hearUses(from, m.GetUses(), now)
	f.hearSent(from, m.GetSent(), now)
	for _, c := range m.GetCrashes() {
		f.crashes.add(c.GetFingerprint(), tarragondeal.ServerID(c.GetServer()))
	}
}

func (f *Fit) hearUses(from tarragondeal.NodeID, uses []*Use, now tarragondeal.Instant) {
	for _, s := range f.servers {
		delete(s.others, from)
	}
	for _, u := range uses {
		if s := f.servers[tarragondeal.ServerID(u.GetServer())]; s != nil {
			s.others[from] = use{
				running: int(u.GetRunning()), tight: int(u.GetTight()), tokens: int(u.GetTokens()),
				failing: u.GetFailing(), heard: now,
			}
		}
	}
}

// hearSent counts what the engines were given by another node. The numbers of
// a process that started anew begin again.
func (f *Fit) hearSent(from tarragondeal.NodeID, sent []*Sent, now tarragondeal.Instant) {
	last := f.heardSeq[from]
	if n := len(sent); n > 0 && sent[n-1].GetSeq() < last {
		last = 0
	}
	for _, m := range sent {
		if m.GetSeq() <= last {
			continue
		}
		last = m.GetSeq()
		s := f.servers[tarragondeal.ServerID(m.GetServer())]
		if s == nil || s.engine == nil || len(m.GetChain()) != len(m.GetTokens()) {
			continue
		}
		links := make([]link, 0, len(m.GetChain()))
		for n, digest := range m.GetChain() {
			links = append(links, link{digest: digest, tokens: int(m.GetTokens()[n])})
		}
		f.sent(s, int(m.GetFresh()), links, now)
	}
	f.heardSeq[from] = last
}
