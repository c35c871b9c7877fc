package tdmember

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

// TestTablesConverge lets live nodes suspect each other, declare each other
// dead, restart and change, while records arrive late, more than once and out
// of order. Once records are exchanged, all tables must be equal and no node
// may be dead.
func TestTablesConverge(t *testing.T) {
	const size = 4
	rapid.Check(t, func(t *rapid.T) {
		now := tarragondeal.Instant(1)
		var tables []*table
		newNode := func(n int, incarnation uint64) *table {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n + 1)}), 1)
			return newTable(tarragondeal.Member{
				Node: tarragondeal.NodeID(fmt.Sprintf("node%d", n)), DataCentre: "duluth", Incarnation: incarnation, Peer: addr, Entry: addr,
			}, time.Second, time.Hour)
		}
		for n := range size {
			tables = append(tables, newNode(n, 10))
		}
		exchangeAll(tables, now)
		var delayed []entry // Records in transit.
		configs := make([]tarragondeal.Version, size)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			a, b := rapid.IntRange(0, size-1).Draw(t, "a"), rapid.IntRange(0, size-1).Draw(t, "b")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				tables[a].suspect(tables[b].self, now)
			case 1:
				now = now.Add(time.Second)
				tables[a].expire(now)
			case 2:
				configs[a]++
				tables[a].updateSelf(func(m *tarragondeal.Member) { m.Config = configs[a] })
			case 3:
				for _, n := range slices.Sorted(maps.Keys(tables[a].entries)) {
					delayed = append(delayed, tables[a].entries[n])
				}
			case 4:
				if len(delayed) > 0 {
					tables[a].merge(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "record")], now)
				}
			case 5:
				configs[a] = 0
				tables[a] = newNode(a, 11+uint64(rapid.IntRange(0, 3).Draw(t, "clock")))
			}
		}
		for round := 0; exchangeAll(tables, now); round++ {
			if round > 50 {
				t.Fatal("tables did not converge")
			}
		}
		for n, one := range tables {
			for _, other := range tables {
				e := other.entries[one.self]
				if e.State != tarragondeal.MemberAlive || e.Config != configs[n] {
					t.Fatalf("%s has entry %+v for %s, which has version %d", other.self, e, one.self, configs[n])
				}
			}
			if one.digests() != tables[0].digests() {
				t.Fatalf("digests of %s and %s differ", one.self, tables[0].self)
			}
		}
	})
}

// TestSameIncarnation starts a process with the incarnation of an earlier one.
// The entry of the earlier process must be replaced on the other node.
func TestSameIncarnation(t *testing.T) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	self := tarragondeal.Member{Node: "node1", Incarnation: 13, Peer: addr, Entry: addr}
	other := newTable(tarragondeal.Member{Node: "node2", Incarnation: 13, Peer: addr}, time.Second, time.Hour)
	for _, config := range []tarragondeal.Version{2, 1, 0} {
		one := newTable(self, time.Second, time.Hour)
		if config > 0 {
			one.updateSelf(func(m *tarragondeal.Member) { m.Config = config })
		}
		for exchangeAll([]*table{one, other}, 1) {
			continue
		}
		if got := other.entries["node1"].Config; got != config {
			t.Errorf("after a start with version %d the other node has version %d", config, got)
		}
	}
}

// exchangeAll merges every table into every other and reports whether any
// changed.
func exchangeAll(tables []*table, now tarragondeal.Instant) (changed bool) {
	for _, from := range tables {
		for _, to := range tables {
			for _, e := range from.entries {
				if to != from && to.merge(e, now) {
					changed = true
				}
			}
		}
	}
	return changed
}

// TestGraph checks for fleets of several sizes that the graph is connected with
// a small diameter, that every node is the neighbour of another one, and that
// no node has many neighbours.
func TestGraph(t *testing.T) {
	for _, size := range []int{2, 7, 50, 350} {
		var members []tarragondeal.Member
		for n := range size {
			members = append(members, tarragondeal.Member{
				Node: tarragondeal.NodeID(fmt.Sprintf("node%03d", n)), DataCentre: fmt.Sprintf("dc%d", n%7),
			})
		}
		watchers := make(map[tarragondeal.NodeID]int)
		next := make(map[tarragondeal.NodeID][]tarragondeal.Member)
		for _, m := range members {
			next[m.Node] = neighbours(m, members)
			if len(next[m.Node]) > 9 {
				t.Errorf("with %d nodes, one has %d neighbours", size, len(next[m.Node]))
			}
			for _, o := range next[m.Node] {
				watchers[o.Node]++
			}
		}
		if len(watchers) != size {
			t.Errorf("with %d nodes, %d are neighbours of another one", size, len(watchers))
		}
		reached := map[tarragondeal.NodeID]bool{members[0].Node: true}
		hops := 0
		for frontier := []tarragondeal.NodeID{members[0].Node}; len(frontier) > 0; hops++ {
			var out []tarragondeal.NodeID
			for _, n := range frontier {
				for _, o := range next[n] {
					if !reached[o.Node] {
						reached[o.Node] = true
						out = append(out, o.Node)
					}
				}
			}
			frontier = out
		}
		if len(reached) != size || hops > 7 {
			t.Errorf("with %d nodes, %d are reached in %d hops", size, len(reached), hops)
		}
	}
}
