package tdusage

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// scoredPeer is a peer with its weight in rendezvous hashing.
type scoredPeer struct {
	node  tarragondeal.NodeID
	score uint64
}

func scorePeer(self, other tarragondeal.NodeID) scoredPeer {
	return scoredPeer{other, xxhash.Sum64String(string(self) + "\x00" + string(other))}
}

func nodesByScore(s []scoredPeer) []tarragondeal.NodeID {
	slices.SortFunc(s, func(a, b scoredPeer) int { return cmp.Compare(b.score, a.score) })
	out := make([]tarragondeal.NodeID, 0, len(s))
	for _, x := range s {
		out = append(out, x.node)
	}
	return out
}
