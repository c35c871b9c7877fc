package tdmember

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// Number of edges that each node keeps in addition to those of the two rings.
const (
	minChords = 2
	// doublingsPerChord is how many doublings of the fleet add one chord.
	doublingsPerChord = 2
)

// neighbours returns the nodes to which self sends heartbeats: its successor
// on the ring of all nodes, its successor on the ring of its data centre, and
// a few chords. The rings keep the graph connected; the chords keep its
// diameter small and make most nodes the target of several others. Chords are
// ranked by the names of their two ends, so that a join or a loss changes few
// edges.
func neighbours(self tarragondeal.Member, members []tarragondeal.Member) []tarragondeal.Member {
	others := make([]tarragondeal.Member, 0, len(members))
	var local []tarragondeal.Member
	for _, m := range members {
		if m.Node == self.Node || m.State == tarragondeal.MemberDead {
			continue
		}
		others = append(others, m)
		if m.DataCentre == self.DataCentre {
			local = append(local, m)
		}
	}
	picked := make(map[tarragondeal.NodeID]bool)
	var out []tarragondeal.Member
	pick := func(m tarragondeal.Member) {
		if !picked[m.Node] {
			picked[m.Node] = true
			out = append(out, m)
		}
	}
	if len(others) > 0 {
		pick(successor(self.Node, others))
	}
	if len(local) > 0 {
		pick(successor(self.Node, local))
	}
	for _, m := range chords(self, others) {
		pick(m)
	}
	return out
}

// successor returns the node that follows self on the ring of hashed names.
func successor(self tarragondeal.NodeID, others []tarragondeal.Member) tarragondeal.Member {
	start := xxhash.Sum64String(string(self))
	return slices.MinFunc(others, func(a, b tarragondeal.Member) int {
		return compare(xxhash.Sum64String(string(a.Node))-start, xxhash.Sum64String(string(b.Node))-start)
	})
}

// chords returns the nodes that rank first by a hash of both names, half of them
// from self's data centre and half from the others.
func chords(self tarragondeal.Member, others []tarragondeal.Member) []tarragondeal.Member {
	ranked := slices.Clone(others)
	rank := make(map[tarragondeal.NodeID]uint64, len(others))
	for _, m := range others {
		rank[m.Node] = xxhash.Sum64String(string(self.Node) + "\x00" + string(m.Node))
	}
	slices.SortFunc(ranked, func(a, b tarragondeal.Member) int { return compare(rank[a.Node], rank[b.Node]) })
	count := min(minChords+bits.Len(uint(len(others)))/doublingsPerChord, len(ranked))
	// Half of the chords, rounded down, go to other data centres if these have
	// enough nodes. The keys say whether a node is in self's data centre.
	quota := map[bool]int{true: (count + 1) / 2, false: count / 2}
	var out, rest []tarragondeal.Member
	for _, m := range ranked {
		local := m.DataCentre == self.DataCentre
		if quota[local] > 0 {
			quota[local]--
			out = append(out, m)
		} else {
			rest = append(rest, m)
		}
	}
	return append(out, rest[:count-len(out)]...)
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
