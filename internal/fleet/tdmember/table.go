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

// buckets is the number of parts of a table that have a digest of their own, to
// find where two tables differ.
const buckets = 16

// table holds a node's view of all nodes, itself included. It has no clock:
// callers pass the current time.
type table struct {
	self             tarragondeal.NodeID
	entries          map[tarragondeal.NodeID]entry
	suspicionTimeout time.Duration                  // From suspect to dead.
	deadRetention    time.Duration                  // How long dead nodes are kept.
	conflictAddr     netip.AddrPort                 // Address of another process that uses this node's name.
	ids              map[uint64]tarragondeal.NodeID // By incarnationID.
	newestConfig     tarragondeal.Version           // The highest version seen from any node.
	sums             [buckets]uint64                // Digests of the buckets, updated incrementally.
}

func newTable(self tarragondeal.Member, suspicionTimeout, deadRetention time.Duration) *table {
	t := &table{
		self: self.Node, entries: make(map[tarragondeal.NodeID]entry), ids: make(map[uint64]tarragondeal.NodeID),
		suspicionTimeout: suspicionTimeout, deadRetention: deadRetention,
	}
	t.put(entry{Member: self})
	return t
}

// merge merges an entry received from a peer and reports whether the table
// changed.
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
	merged := mergeEntries(have, in, now)
	if merged == have {
		return false
	}
	t.put(merged)
	return true
}

// put adds or replaces the entry of a node.
func (t *table) put(e entry) {
	t.drop(e.Node)
	t.entries[e.Node] = e
	t.ids[incarnationID(e.Member)] = e.Node
	t.sums[bucket(e.Node)] += digest(e)
	t.newestConfig = max(t.newestConfig, e.Config)
}

// drop removes a node.
func (t *table) drop(n tarragondeal.NodeID) {
	e, ok := t.entries[n]
	if !ok {
		return
	}
	t.sums[bucket(n)] -= digest(e)
	delete(t.ids, incarnationID(e.Member))
	delete(t.entries, n)
}

// incarnationID returns a hash that identifies an incarnation of a node.
func incarnationID(m tarragondeal.Member) uint64 {
	var num [8]byte
	binary.LittleEndian.PutUint64(num[:], m.Incarnation)
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(num[:])
	_, _ = h.WriteString(string(m.Node))
	return h.Sum64()
}

// mergeLevel merges a node's configuration version and load. It returns the
// node and whether its entry changed. Unknown ids are ignored: they are resolved
// when the tables are compared.
func (t *table) mergeLevel(id uint64, seq uint32, config tarragondeal.Version, load float64) (tarragondeal.NodeID, bool) {
	n, ok := t.ids[id]
	e := t.entries[n]
	if !ok || n == t.self || seq <= e.seq {
		return n, false
	}
	e.seq, e.Config, e.Load = seq, config, load
	t.put(e)
	return n, true
}

// mergeEntries merges two entries of a node: the higher incarnation wins, and
// within an incarnation the higher state. Configuration and load are taken from
// the entry with the higher sequence number.
func mergeEntries(have, in entry, now tarragondeal.Instant) entry {
	if in.Incarnation < have.Incarnation {
		return have
	}
	if in.Incarnation > have.Incarnation {
		// The configuration is replaced too: its version never decreases within
		// a process, but a new process starts without one.
		in.since = now
		return in
	}
	if in.seq > have.seq {
		have.seq, have.Config, have.Load = in.seq, in.Config, in.Load
	}
	if in.State > have.State {
		// A dead state that was not preceded by suspicion comes from the other
		// side of a network partition: the node gets time to refute it.
		if have.State == tarragondeal.MemberAlive && in.State == tarragondeal.MemberDead {
			in.State = tarragondeal.MemberSuspect
		}
		have.State, have.since = in.State, now
	}
	return have
}

// refute raises this node's incarnation above that of a wrong entry about it.
// It reports whether it did so.
func (t *table) refute(in entry, now tarragondeal.Instant) bool {
	own := t.entries[t.self]
	if in.Incarnation < own.Incarnation {
		return false
	}
	if in.Incarnation == own.Incarnation && in.State <= own.State && !fromOtherProcess(own, in) {
		return false
	}
	if in.State == tarragondeal.MemberAlive && in.Peer != own.Peer {
		// Another process uses this node's name, or did until it ended. In the
		// latter case it will soon be suspected, which is then refuted.
		t.conflictAddr = in.Peer
		return false
	}
	own.Incarnation, own.since = in.Incarnation+1, now
	t.put(own)
	return true
}

// fromOtherProcess reports whether an entry with this node's incarnation comes
// from another process: an earlier one that used the same number, which happens
// after the wall clock is set back.
func fromOtherProcess(own, in entry) bool {
	return in.seq > own.seq || in.seq == own.seq && (in.Config != own.Config || in.Load != own.Load)
}

// suspect marks a node as suspected after this node found it unresponsive. It
// reports whether the table changed.
func (t *table) suspect(n tarragondeal.NodeID, now tarragondeal.Instant) bool {
	e, ok := t.entries[n]
	if !ok || n == t.self || e.State == tarragondeal.MemberDead || e.State == tarragondeal.MemberSuspect {
		return false
	}
	if e.State == tarragondeal.MemberLeaving {
		// A leaving node that stops responding has left.
		e.State = tarragondeal.MemberDead
	} else {
		e.State = tarragondeal.MemberSuspect
	}
	e.since = now
	t.put(e)
	return true
}

// expire declares nodes dead whose suspicion timed out and removes nodes that
// have been dead for deadRetention. It returns the nodes declared dead.
func (t *table) expire(now tarragondeal.Instant) []tarragondeal.NodeID {
	var died []tarragondeal.NodeID
	for n, e := range t.entries {
		switch age := now.Sub(e.since); {
		case n == t.self:
		case e.State == tarragondeal.MemberSuspect && age >= t.suspicionTimeout:
			e.State, e.since = tarragondeal.MemberDead, now
			t.put(e)
			died = append(died, n)
		case e.State == tarragondeal.MemberDead && age >= t.deadRetention:
			t.drop(n)
		}
	}
	return died
}

// restartSuspicion restarts the timeouts of suspected nodes after this node was
// paused.
func (t *table) restartSuspicion(now tarragondeal.Instant) {
	for _, e := range t.entries {
		if e.State == tarragondeal.MemberSuspect {
			e.since = now
			t.put(e)
		}
	}
}

// updateSelf applies f to this node's own entry.
func (t *table) updateSelf(f func(m *tarragondeal.Member)) {
	own := t.entries[t.self]
	f(&own.Member)
	own.seq++
	t.put(own)
}

// members returns all nodes except dead ones, sorted by name.
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

// dead returns the entries of dead nodes.
func (t *table) dead() []entry {
	var out []entry
	for _, e := range t.entries {
		if e.State == tarragondeal.MemberDead {
			out = append(out, e)
		}
	}
	return out
}

// digests returns the digest of each bucket.
func (t *table) digests() [buckets]uint64 { return t.sums }

// digest returns the contribution of an entry to the digest of its bucket. Dead
// nodes are left out, since nodes remove them at different times, and so is the
// load, since it changes constantly.
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

// combineDigests returns one digest for all buckets.
func combineDigests(ds [buckets]uint64) uint64 {
	var sum uint64
	for n, d := range ds {
		sum = sum*31 + d + uint64(n)
	}
	return sum
}
