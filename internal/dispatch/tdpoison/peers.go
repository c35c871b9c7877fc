package tdpoison

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// Topic is the mesh topic on which nodes announce breaks.
const Topic = "poison"

const (
	// maxLog bounds the log of announcements.
	maxLog = 1024
	// maxEvents bounds the events in one message.
	maxEvents = 256
)

// announcement is a change that peers are to learn of. From is the peer that
// announced it, or empty for this node.
type announcement struct {
	change
	from tarragondeal.NodeID
}

func (t *Table) announce(c change, from tarragondeal.NodeID) {
	t.seq++
	t.log = append(t.log, announcement{change: c, from: from})
	if len(t.log) >= 2*maxLog {
		t.log = append(t.log[:0], t.log[maxLog:]...)
	}
}

// Writer returns a function that encodes the changes since its last call, for one
// peer: those of this node and of the nodes for which include returns true. The first
// call encodes what the table holds.
func (t *Table) Writer() func(include func(tarragondeal.NodeID) bool) []byte {
	var seq uint64
	first := true
	return func(include func(tarragondeal.NodeID) bool) []byte {
		t.mu.Lock()
		defer t.mu.Unlock()
		var changes []change
		if first {
			changes, first, seq = t.snapshot(), false, t.seq
		} else {
			changes, seq = t.changesSince(seq, include)
		}
		if len(changes) == 0 {
			return nil
		}
		out, err := proto.Marshal(t.encode(changes))
		if err != nil {
			t.Log.Error().Err(err).Msg("can't encode breaks of connections")
			return nil
		}
		return out
	}
}

// snapshot returns the changes that lead to the records of the table, those of
// poisonous traits first, then the latest.
func (t *Table) snapshot() []change {
	type entry struct {
		trait Trait
		r     *record
	}
	now := t.Clock.Now()
	var entries []entry
	for trait, r := range t.records {
		if !r.expired(trait.Kind, now) {
			entries = append(entries, entry{trait, r})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		if ra, rb := a.r.poisonous(a.trait.Kind, forever), b.r.poisonous(b.trait.Kind, forever); ra != rb {
			if ra {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.r.lastEvent(), a.r.lastEvent())
	})
	var out []change
	for _, e := range entries {
		for _, b := range slices.Backward(e.r.breaks) { // The latest first: the others alone may be too old for a record.
			if !b.Survived {
				out = append(out, change{trait: e.trait, kind: changeBroke, b: b, answered: e.r.answered})
			}
		}
	}
	return out[:min(len(out), maxEvents)]
}

// changesSince returns the changes after seq that a peer is to learn of, and the
// number of the last one.
func (t *Table) changesSince(seq uint64, include func(tarragondeal.NodeID) bool) ([]change, uint64) {
	seq = max(seq, t.seq-uint64(len(t.log)))
	var out []change
	for ; seq < t.seq && len(out) < maxEvents; seq++ {
		if a := t.log[len(t.log)-int(t.seq-seq)]; a.from == "" || include(a.from) {
			out = append(out, a.change)
		}
	}
	return out, seq
}

func (t *Table) encode(changes []change) *Message {
	now := t.Clock.Now()
	age := func(at tarragondeal.Instant) uint32 {
		return uint32(min(math.MaxUint32, max(0, now.Sub(at).Milliseconds())))
	}
	m := &Message{}
	for _, c := range changes {
		e := &Event{Kind: uint32(c.trait.Kind), Pool: c.trait.Pool, Id: c.trait.ID, Answered: c.kind == changeAnswered, AgeMillis: age(c.b.At)}
		if c.kind != changeAnswered {
			e.Server, e.StartedMillis, e.Survived = string(c.b.Run.Server), c.b.Run.Started, c.kind == changeSurvived
		}
		if c.kind == changeBroke {
			e.SentAgeMillis = age(c.b.Sent)
			if c.answered != never {
				answered := age(c.answered)
				e.AnsweredAgeMillis = &answered
			}
		}
		m.Events = append(m.Events, e)
	}
	return m
}

// Receive merges a message of a peer.
func (t *Table) Receive(from tarragondeal.NodeID, payload []byte) {
	var m Message
	if err := proto.Unmarshal(payload, &m); err != nil {
		t.Log.Warn().Err(err).Str("peer", string(from)).Msg("can't decode breaks of connections")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	at := func(millis uint32) tarragondeal.Instant { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for _, e := range m.GetEvents() {
		kind := changeBroke
		switch {
		case e.GetAnswered():
			kind = changeAnswered
		case e.GetSurvived():
			kind = changeSurvived
		}
		answered := never
		if e.AnsweredAgeMillis != nil {
			answered = at(e.GetAnsweredAgeMillis())
		}
		t.apply(change{
			answered: answered,
			trait:    Trait{Kind: Kind(e.GetKind()), Pool: e.GetPool(), ID: e.GetId()}, kind: kind,
			b: Break{
				Run:  Run{Server: tarragondeal.ServerID(e.GetServer()), Started: e.GetStartedMillis()},
				Sent: at(e.GetSentAgeMillis()), At: at(e.GetAgeMillis()),
			},
		}, from)
	}
}
