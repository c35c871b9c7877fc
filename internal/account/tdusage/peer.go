package tdusage

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

type scored struct {
	node  tarragondeal.NodeID
	score uint64
}

func score(self, other tarragondeal.NodeID) scored {
	return scored{other, xxhash.Sum64String(string(self) + "\x00" + string(other))}
}

func ranked(s []scored) []tarragondeal.NodeID {
	slices.SortFunc(s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]tarragondeal.NodeID, 0, len(s))
	for _, x := range s {
		out = append(out, x.node)
	}
	return out
}
