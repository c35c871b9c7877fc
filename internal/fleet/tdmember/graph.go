package tdmember

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// Edges that each node keeps beside the two rings.
const (
	minChords = 2
	// chordsPerDoubling adds one chord for every two doublings of the fleet.
	doublingsPerChord = 2
)

// neighbours returns the nodes to which self sends heartbeats: the next on
// the ring of all nodes, the next on the ring of its data centre, and a few
// chords. The rings keep the graph connected; the chords keep it shallow and
// give most nodes several watchers. Each edge depends on the names of its
// two ends only, so that a join or a loss moves few.
func neighbours(self tarragondeal.Member, members []tarragondeal.Member) []tarragondeal.Member {
	others := make([]tarragondeal.Member, 0, len(members))
	var home []tarragondeal.Member
	for _, m := range members {
		if m.Node == self.Node || m.State == tarragondeal.MemberDead {
			continue
		}
		others = append(others, m)
		if m.DataCentre == self.DataCentre {
			home = append(home, m)
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
		pick(after(self.Node, others))
	}
	if len(home) > 0 {
		pick(after(self.Node, home))
	}
	for _, m := range chords(self, others) {
		pick(m)
	}
	return out
}

// after returns the next node on the ring that hashes of names make.
func after(self tarragondeal.NodeID, others []tarragondeal.Member) tarragondeal.Member {
	at := xxhash.Sum64String(string(self))
	return slices.MinFunc(others, func(a, b tarragondeal.Member) int {
		return compare(xxhash.Sum64String(string(a.Node))-at, xxhash.Sum64String(string(b.Node))-at)
	})
}

// chords returns the others that rank first by a hash of both names, taking
// turns between self's data centre and the rest.
func chords(self tarragondeal.Member, others []tarragondeal.Member) []tarragondeal.Member {
	ranked := slices.Clone(others)
	rank := make(map[tarragondeal.NodeID]uint64, len(others))
	for _, m := range others {
		rank[m.Node] = xxhash.Sum64String(string(self.Node) + "\x00" + string(m.Node))
	}
	slices.SortFunc(ranked, func(a, b tarragondeal.Member) int { return compare(rank[a.Node], rank[b.Node]) })
	want := min(minChords+bits.Len(uint(len(others)))/doublingsPerChord, len(ranked))
	// Half of the chords lead out of the data centre, if they can.
	room := map[bool]int{true: (want + 1) / 2, false: want / 2}
	var out, rest []tarragondeal.Member
	for _, m := range ranked {
		home := m.DataCentre == self.DataCentre
		if room[home] > 0 {
			room[home]--
			out = append(out, m)
		} else {
			rest = append(rest, m)
		}
	}
	return append(out, rest[:want-len(out)]...)
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
