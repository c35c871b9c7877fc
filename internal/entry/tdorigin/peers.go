package tdorigin

import (
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// Topic is the mesh topic on which nodes announce streams.
const Topic = "origin"

const (
	// maxLog bounds the log of announcements.
	maxLog = 4096
	// maxSnapshot bounds the records that are sent on a new stream of states, or on
	// one that falls further behind than the log.
	maxSnapshot = 1024
	// forwardGrace is how long the announcements of a node are forwarded on a stream
	// after its states no longer are: what it announced last may be the origins of
	// the streams that broke with it.
	forwardGrace = 2 * time.Second
	// ageStep is the precision of the age of records.
	ageStep = time.Second
	// listedInterval is how often the software that was listed is sent without a
	// change.
	listedInterval = 5 * time.Second
)

// announcement is a stream that began. From is the peer that announced it, or
// empty for this node.
type announcement struct {
	from     tarragondeal.NodeID
	key      key
	software *tarragondeal.Software
}

func (o *Origins) append(a announcement) {
	o.seq++
	o.log = append(o.log, a)
	if len(o.log) >= 2*maxLog {
		o.log = append(o.log[:0], o.log[maxLog:]...)
	}
}

// SetServers replaces the list of servers.
func (o *Origins) SetServers(list []tarragondeal.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.history.set(list, now)
	o.forgetPeers(now)
}

// sentState is what was last sent on one stream of states.
type sentState struct {
	first    bool
	seq      uint64
	changes  uint64
	listedAt tarragondeal.Instant
	// forwards holds when announcements of a peer were last to be forwarded.
	forwards map[tarragondeal.NodeID]tarragondeal.Instant
}

// update records which peers' announcements are to be forwarded now.
func (s *sentState) update(peers map[tarragondeal.NodeID]tarragondeal.Instant, include func(tarragondeal.NodeID) bool, now tarragondeal.Instant) {
	for name := range peers {
		if include(name) {
			s.forwards[name] = now
		}
	}
	for name, at := range s.forwards {
		if now.Sub(at) > forwardGrace {
			delete(s.forwards, name)
		}
	}
}

// Writer returns a function that encodes the announcements since its last call, for
// one peer: those of this node and of the nodes for which include returns true, or did
// a short time ago. The first call encodes the latest records, also those of nodes that are gone.
func (o *Origins) Writer() func(include func(tarragondeal.NodeID) bool) []byte {
	sent := sentState{first: true, forwards: make(map[tarragondeal.NodeID]tarragondeal.Instant)}
	return func(include func(tarragondeal.NodeID) bool) []byte {
		current := o.Current()
		o.mu.Lock()
		defer o.mu.Unlock()
		now := o.Clock.Now()
		o.refresh(now)
		sent.update(o.peers, include, now)
		m := &Message{Current: current}
		o.addStreams(m, &sent, now)
		o.addListed(m, &sent, now)
		sent.first = false
		if len(m.Streams) == 0 && len(m.Listed) == 0 {
			return nil
		}
		out, err := proto.Marshal(m)
		if err != nil {
			o.Log.Error().Err(err).Msg("can't encode the origins of streams")
			return nil
		}
		return out
	}
}

// forgetPeers deletes the peers that have sent nothing for long.
func (o *Origins) forgetPeers(now tarragondeal.Instant) {
	for name, at := range o.peers {
		if now.Sub(at) > historyTTL {
			delete(o.peers, name)
		}
	}
}

// refresh announces open streams again that were announced long ago.
func (o *Origins) refresh(now tarragondeal.Instant) {
	for k, at := range o.open {
		r, ok := o.records[k]
		if now.Sub(at) < refreshInterval || !ok {
			continue
		}
		o.open[k] = now
		if o.add(k, *r.software, now, now) {
			o.append(announcement{key: k, software: r.software})
		}
	}
}

// streamGroup are streams that began at one software and were announced at about the
// same time.
type streamGroup struct {
	software *tarragondeal.Software
	age      time.Duration // In whole steps of ageStep; zero for new announcements.
}

// addStreams adds the announcements that were not sent yet to a message.
func (o *Origins) addStreams(m *Message, sent *sentState, now tarragondeal.Instant) {
	groups := make(map[streamGroup][]byte)
	missing := int(o.seq - sent.seq)
	if sent.first || missing > len(o.log) {
		o.groupRecords(groups, now)
	} else {
		for _, a := range o.log[len(o.log)-missing:] {
			if _, forward := sent.forwards[a.from]; a.from == "" || forward {
				g := streamGroup{software: a.software}
				groups[g] = appendKey(groups[g], a.key)
			}
		}
	}
	sent.seq = o.seq
	for g, keys := range groups {
		m.Streams = append(m.Streams, &Streams{
			Pool: g.software.Pool, Version: g.software.Version, Keys: keys, AgeMillis: uint64(g.age.Milliseconds()),
		})
	}
}

// groupRecords adds the latest records to groups.
func (o *Origins) groupRecords(groups map[streamGroup][]byte, now tarragondeal.Instant) {
	for _, q := range o.expiry[max(0, len(o.expiry)-maxSnapshot):] {
		r, ok := o.records[q.key]
		if !ok || r.at != q.at {
			continue
		}
		g := streamGroup{software: r.software, age: max(now.Sub(r.at).Round(ageStep), ageStep)}
		groups[g] = appendKey(groups[g], q.key)
		if r.other != nil {
			g.software = r.other
			groups[g] = appendKey(groups[g], q.key)
		}
	}
}

func appendKey(b []byte, k key) []byte {
	for n := range keyBytes {
		b = append(b, byte(k>>(8*n)))
	}
	return b
}

// addListed adds the software that was listed to a message, if it has changed or was
// not sent for long.
func (o *Origins) addListed(m *Message, sent *sentState, now tarragondeal.Instant) {
	h := &o.history
	if !h.complete || !sent.first && sent.changes == h.changes && now.Sub(sent.listedAt) < listedInterval {
		return
	}
	sent.changes, sent.listedAt = h.changes, now
	for s, at := range h.last {
		l := &Listed{Pool: s.Pool, Version: s.Version}
		if age := now.Sub(at); !h.present[s] {
			l.AgeMillis, l.ListedMillis = uint64(age.Milliseconds()), o.Wall().Add(-age).UnixMilli()
		}
		m.Listed = append(m.Listed, l)
	}
	if !m.GetCurrent() {
		return // There may have been other software since.
	}
	m.CompleteMillis = uint64(min(now.Sub(max(h.from, farPast)), historyTTL).Milliseconds())
}

// Receive merges a message of a peer.
func (o *Origins) Receive(from tarragondeal.NodeID, payload []byte) {
	var m Message
	if err := proto.Unmarshal(payload, &m); err != nil {
		o.Log.Warn().Err(err).Str("peer", string(from)).Msg("can't decode the origins of streams of a peer")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.peers[from] = now
	for _, g := range m.GetStreams() {
		s := tarragondeal.Software{Pool: g.GetPool(), Version: g.GetVersion()}
		if !s.Known() || len(g.GetKeys())%keyBytes != 0 {
			o.Log.Warn().Str("peer", string(from)).Str("pool", s.Pool).Int("bytes", len(g.GetKeys())).Msg("invalid origins of streams of a peer")
			continue
		}
		age := time.Duration(min(g.GetAgeMillis(), uint64(historyTTL.Milliseconds()))) * time.Millisecond
		for b := g.GetKeys(); len(b) > 0; b = b[keyBytes:] {
			if k := decodeKey(b); o.add(k, s, now.Add(-age), now) && age <= forwardGrace {
				o.append(announcement{from: from, key: k, software: o.intern(s)})
			}
		}
	}
	o.receiveListed(&m, now)
}

func decodeKey(b []byte) key {
	var k key
	for n := range keyBytes {
		k |= key(b[n]) << (8 * n)
	}
	return k
}

func (o *Origins) receiveListed(m *Message, now tarragondeal.Instant) {
	if len(m.GetListed()) == 0 {
		return
	}
	ago := func(millis uint64) tarragondeal.Instant {
		return now.Add(-time.Duration(min(millis, uint64(historyTTL.Milliseconds()))) * time.Millisecond)
	}
	listed := make(map[tarragondeal.Software]tarragondeal.Instant)
	for _, l := range m.GetListed() {
		age := l.GetAgeMillis()
		if at := l.GetListedMillis(); at != 0 {
			age = max(age, uint64(max(0, o.Wall().UnixMilli()-at)))
		}
		listed[tarragondeal.Software{Pool: l.GetPool(), Version: l.GetVersion()}] = ago(age)
	}
	if !m.GetCurrent() {
		o.history.add(listed)
		return
	}
	o.history.merge(listed, ago(m.GetCompleteMillis()))
}
