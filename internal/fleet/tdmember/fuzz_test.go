package tdmember

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// FuzzBeat feeds heartbeats from the network to a table.
func FuzzBeat(f *testing.F) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	self := tarragondeal.Member{Node: "node1", DataCentre: "duluth", Incarnation: 7, Peer: addr, Entry: addr}
	for _, b := range []*Beat{
		{From: "node2", News: []*Record{encode(entry{Member: self})}},
		{From: "node2", News: []*Record{{Node: "node1", DataCentre: "duluth", Incarnation: 7, State: 1, Peer: encode(entry{Member: self}).GetPeer()}}},
		{News: []*Record{{Node: "x", State: 9}}},
	} {
		seed, err := proto.Marshal(b)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var b Beat
		if proto.Unmarshal(data, &b) != nil {
			return
		}
		tab := newTable(self, time.Second, time.Hour)
		for _, r := range b.GetNews() {
			e, err := decode(r)
			if err != nil {
				continue
			}
			tab.merge(e, 1)
			if tab.merge(e, 2) && e.Node != self.Node {
				t.Errorf("the same news of %s changed the table twice", e.Node)
			}
		}
		me := tab.entries[self.Node]
		if me.State != tarragondeal.MemberAlive || me.Incarnation < self.Incarnation {
			t.Errorf("others' news made this node %+v", me)
		}
	})
}
