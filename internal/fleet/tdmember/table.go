package tdmember

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// buckets is into how many parts a table is cut to find where two differ.
const buckets = 16

// table is what a node believes of all nodes, itself included. It has no
// clock: now is passed in.
type table struct {
	self      tarragondeal.NodeID
	entries   map[tarragondeal.NodeID]entry
	deadAfter time.Duration  // From suspicion to death.
	keepDead  time.Duration  // How long the dead are remembered.
	twin      netip.AddrPort // Another process that uses this node's name.
	ids       map[uint64]tarragondeal.NodeID
	newest    tarragondeal.Version // The highest version that any node had.
	sums      [buckets]uint64      // The digests of the buckets, kept up to date.
}

func newTable(self tarragondeal.Member, deadAfter, keepDead time.Duration) *table {
	t := &table{
		self: self.Node, entries: make(map[tarragondeal.NodeID]entry), ids: make(map[uint64]tarragondeal.NodeID),
		deadAfter: deadAfter, keepDead: keepDead,
	}
	t.put(entry{Member: self})
	return t
}

// merge takes in what a peer believes of a node. It returns whether that
// changed anything.
func (t *table) merge(in entry, now tarragondeal.Instant) bool {
	if in.Node == t.self {
		return t.refute(in, now)
	}
	have, ok := t.entries[in.Node]
	if !ok {
		if in.State == tarragondeal.MemberDead {
			return false
		}
		in.since = now
		t.put(in)
		return true
	}
	next := newer(have, in, now)
	if next == have {
		return false
	}
	t.put(next)
	return true
}

// put sets what is believed of a node.
func (t *table) put(e entry) {
	t.drop(e.Node)
	t.entries[e.Node] = e
	t.ids[id(e.Member)] = e.Node
	t.sums[bucket(e.Node)] += digest(e)
	t.newest = max(t.newest, e.Config)
}

// drop forgets a node.
func (t *table) drop(n tarragondeal.NodeID) {
	e, ok := t.entries[n]
	if !ok {
		return
	}
	t.sums[bucket(n)] -= digest(e)
	delete(t.ids, id(e.Member))
	delete(t.entries, n)
}

// id is a short name for an incarnation of a node.
func id(m tarragondeal.Member) uint64 {
	var num [8]byte
	binary.LittleEndian.PutUint64(num[:], m.Incarnation)
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(num[:])
	_, _ = h.WriteString(string(m.Node))
	return h.Sum64()
}

// level takes in a node's configuration and load. Ids that are not known
// here are passed over: comparing tables brings what is missing.
func (t *table) level(id uint64, seq uint32, config tarragondeal.Version, load float64) (tarragondeal.NodeID, bool) {
	n, ok := t.ids[id]
	e := t.entries[n]
	if !ok || n == t.self || seq <= e.seq {
		return n, false
	}
	e.seq, e.Config, e.Load = seq, config, load
	t.put(e)
	return n, true
}

// newer joins two beliefs: the higher incarnation wins, within one the
// higher state, and load and configuration go by their own sequence.
func newer(have, in entry, now tarragondeal.Instant) entry {
	if in.Incarnation < have.Incarnation {
		return have
	}
	if in.Incarnation > have.Incarnation {
		// A configuration never reverts at a running node, but a new process
		// starts without one.
		in.since = now
		return in
	}
	if in.seq > have.seq {
		have.seq, have.Config, have.Load = in.seq, in.Config, in.Load
	}
	if in.State > have.State {
		// Word of a death without suspicion before it comes from a part of
		// the fleet that was cut off: the node is given time to refute it.
		if have.State == tarragondeal.MemberAlive && in.State == tarragondeal.MemberDead {
			in.State = tarragondeal.MemberSuspect
		}
		have.State, have.since = in.State, now
	}
	return have
}

// refute answers a wrong belief about this node with a higher incarnation.
func (t *table) refute(in entry, now tarragondeal.Instant) bool {
	me := t.entries[t.self]
	if in.Incarnation < me.Incarnation {
		return false
	}
	if in.Incarnation == me.Incarnation && in.State <= me.State && !foreign(me, in) {
		return false
	}
	if in.State == tarragondeal.MemberAlive && in.Peer != me.Peer {
		// Another process uses this node's name, or did until it ended. In
		// the second case it will be suspected soon, which is refuted then.
		t.twin = in.Peer
		return false
	}
	me.Incarnation, me.since = in.Incarnation+1, now
	t.put(me)
	return true
}

// foreign reports whether a record of this node's incarnation is of another
// process: an earlier one that took the same number, as it does after the
// wall clock stepped back.
func foreign(me, in entry) bool {
	return in.seq > me.seq || in.seq == me.seq && (in.Config != me.Config || in.Load != me.Load)
}

// suspect is this node's own observation that another one is silent.
func (t *table) suspect(n tarragondeal.NodeID, now tarragondeal.Instant) bool {
	e, ok := t.entries[n]
	if !ok || n == t.self || e.State == tarragondeal.MemberDead || e.State == tarragondeal.MemberSuspect {
		return false
	}
	if e.State == tarragondeal.MemberLeaving {
		// A leaving node that falls silent has left.
		e.State = tarragondeal.MemberDead
	} else {
		e.State = tarragondeal.MemberSuspect
	}
	e.since = now
	t.put(e)
	return true
}

// expire turns old suspicion into death and forgets the long dead. It
// returns the nodes that died.
func (t *table) expire(now tarragondeal.Instant) []tarragondeal.NodeID {
	var died []tarragondeal.NodeID
	for n, e := range t.entries {
		switch age := now.Sub(e.since); {
		case n == t.self:
		case e.State == tarragondeal.MemberSuspect && age >= t.deadAfter:
			e.State, e.since = tarragondeal.MemberDead, now
			t.put(e)
			died = append(died, n)
		case e.State == tarragondeal.MemberDead && age >= t.keepDead:
			t.drop(n)
		}
	}
	return died
}

// resume starts all waiting anew after this node was paused.
func (t *table) resume(now tarragondeal.Instant) {
	for _, e := range t.entries {
		if e.State == tarragondeal.MemberSuspect {
			e.since = now
			t.put(e)
		}
	}
}

// change alters this node's own record.
func (t *table) change(f func(m *tarragondeal.Member)) {
	me := t.entries[t.self]
	f(&me.Member)
	me.seq++
	t.put(me)
}

// members returns all but the dead, in the order of their names.
func (t *table) members() []tarragondeal.Member {
	out := make([]tarragondeal.Member, 0, len(t.entries))
	for _, e := range t.entries {
		if e.State != tarragondeal.MemberDead {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b tarragondeal.Member) int {
		return strings.Compare(string(a.Node), string(b.Node))
	})
	return out
}

// dead returns the addresses of nodes taken for dead.
func (t *table) dead() []entry {
	var out []entry
	for _, e := range t.entries {
		if e.State == tarragondeal.MemberDead {
			out = append(out, e)
		}
	}
	return out
}

// digests returns a digest of each bucket.
func (t *table) digests() [buckets]uint64 { return t.sums }

// digest is what an entry adds to its bucket. The dead don't count, since
// nodes forget them at different times, nor does load, since it changes all
// along.
func digest(e entry) uint64 {
	if e.State == tarragondeal.MemberDead {
		return 0
	}
	var num [8 * 3]byte
	binary.LittleEndian.PutUint64(num[0:], e.Incarnation)
	binary.LittleEndian.PutUint64(num[8:], uint64(e.State))
	binary.LittleEndian.PutUint64(num[16:], uint64(e.Config))
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(e.Node))
	_, _ = h.Write(num[:])
	return h.Sum64()
}

func bucket(n tarragondeal.NodeID) uint64 { return xxhash.Sum64String(string(n)) % buckets }

// whole joins the digests of the buckets.
func whole(ds [buckets]uint64) uint64 {
	var sum uint64
	for n, d := range ds {
		sum = sum*31 + d + uint64(n)
	}
	return sum
}
