// Package tdshare divides the request rate that a backend server accepts over the
// nodes of the fleet, without messages between them.
//
// Time is divided into slots of equal length, the same at all nodes. Each slot has
// a number of permits for the server, on average as many as the server accepts
// requests in that time. Each permit belongs to one node, found by rendezvous
// hashing, which may send one request with it while the slot lasts or soon after.
//
// Nodes that know the same members and the same time never use the same permit. A
// node that knows other members, or has another time, uses about as many permits
// as before, some of them twice. The permits of a node that is down are not used.
//
// Part divides the requests that a server runs at once instead, without time.
//
// # Usage
//
//	s := tdshare.New("server-1")
//	f := tdshare.Fleet{Self: self, Nodes: nodes, Now: wall}
//	if s.Available(f, perSecond) {
//		s.Take()
//		// Send one request.
//	}
//
//	part := tdshare.Part(f, "server-1", 64) // Of 64 requests at once.
//
// Available must be called before each Take, with the current time.
package tdshare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

const (
	// SlotTime is the length of a slot.
	SlotTime = 100 * time.Millisecond
	// PermitTTL is how long a permit may be used after the end of its slot. In a
	// period p the fleet sends at most as many requests as the server accepts in p +
	// PermitTTL + SlotTime, rounded up by a few.
	PermitTTL = 900 * time.Millisecond
	ttlSlots  = int64(PermitTTL / SlotTime)
	// maxOwners bounds the nodes that share the permits of one slot, and with that
	// the work per slot.
	maxOwners = 4
	// maxBackwardStep is the largest backward step of the time, in slots, during
	// which no permits are used. After a larger one the slots are used again.
	maxBackwardStep = 50
	// goldenRatio is the fractional part of the golden ratio, as a fraction of
	// 2^64. Its multiples are spread evenly over the range of uint64.
	goldenRatio = 0x9E3779B97F4A7C15
)

// Fleet is what a node knows of the fleet at one time.
type Fleet struct {
	Self  tarragondeal.NodeID
	Nodes []tarragondeal.NodeID // All nodes, in any order, including Self.
	Now   time.Time             // By a clock on which the nodes agree.
}

// Share is one node's share of the rate of one server. It is not safe for
// concurrent use.
type Share struct {
	server string
	phase  uint64
	slot   int64 // The slot of the next permit.
	used   int   // Permits of this node that were used in that slot.
}

// New returns the share of the named server.
func New(server string) *Share {
	return &Share{server: server, phase: xxhash.Sum64String(server)}
}

// Available reports whether this node has a permit now. The rate is in requests per
// second of the whole fleet.
func (s *Share) Available(f Fleet, perSecond float64) bool {
	now := SlotAt(f.Now)
	if s.slot < now-ttlSlots || s.slot > now+maxBackwardStep {
		s.slot, s.used = now-ttlSlots, 0
	}
	for ; s.slot <= now; s.slot, s.used = s.slot+1, 0 {
		if s.used < s.owned(f, perSecond, s.slot) {
			return true
		}
	}
	return false
}

// Slot returns the number of the slot of the permit that Available has found.
func (s *Share) Slot() int64 { return s.slot }

// Take uses the permit that Available has found.
func (s *Share) Take() { s.used++ }

// AvailableBefore reports whether this node has a permit in a slot that begins
// after f.Now and no later than until.
func (s *Share) AvailableBefore(f Fleet, perSecond float64, until time.Time) bool {
	for n := SlotAt(f.Now) + 1; n <= SlotAt(until); n++ {
		if s.owned(f, perSecond, n) > 0 {
			return true
		}
	}
	return false
}

// SlotAt returns the number of the slot at a time.
func SlotAt(t time.Time) int64 { return t.UnixNano() / int64(SlotTime) }

// permits returns the number of permits in a slot. The slots with the rounded-up
// number are spread evenly. A higher rate adds permits and moves none, so that
// nodes which know slightly different rates agree on nearly all permits.
func (s *Share) permits(perSecond float64, slot int64) int {
	whole, fraction := math.Modf(perSecond * SlotTime.Seconds())
	n := int(whole)
	if float64(uint64(slot)*goldenRatio+s.phase) < fraction*math.MaxUint64 {
		n++
	}
	return n
}

// owned returns the number of this node's permits in a slot.
func (s *Share) owned(f Fleet, perSecond float64, slot int64) int {
	total := s.permits(perSecond, slot)
	owners := min(total, maxOwners)
	n := 0
	for o := range owners {
		if s.owner(f.Nodes, slot, o) == f.Self {
			n += (total + owners - 1 - o) / owners
		}
	}
	return n
}

// Part returns how many of the requests that a server runs at once belong to this node.
// Nodes that know the same members divide them without overlap. Which nodes get the larger
// parts differs between servers.
func Part(f Fleet, server string, requests int) int {
	if len(f.Nodes) == 0 {
		return 0
	}
	d := xxhash.New()
	weight := func(node tarragondeal.NodeID) uint64 {
		d.Reset()
		_, _ = d.WriteString(server) // Doesn't fail.
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(string(node))
		return d.Sum64()
	}
	own := weight(f.Self)
	rank := 0
	for _, node := range f.Nodes {
		if w := weight(node); w > own || w == own && node < f.Self {
			rank++
		}
	}
	part := requests / len(f.Nodes)
	if rank < requests%len(f.Nodes) {
		part++
	}
	return part
}

// owner returns the node to which the permits with one number in a slot belong.
func (s *Share) owner(nodes []tarragondeal.NodeID, slot int64, number int) tarragondeal.NodeID {
	key := binary.LittleEndian.AppendUint64(nil, uint64(slot))
	key = append(key, byte(number))
	key = append(key, s.server...)
	key = append(key, 0)
	var best tarragondeal.NodeID
	var most uint64
	for _, node := range nodes {
		h := xxhash.Sum64(append(key, node...))
		if best == "" || h > most || h == most && node < best {
			best, most = node, h
		}
	}
	return best
}
