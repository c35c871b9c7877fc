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
		{Levels: &Levels{Ids: []uint64{id(self)}, Seqs: []uint32{9}, Configs: []uint64{3}, Loads: []uint32{1}}},
		{Levels: &Levels{Ids: []uint64{1, 2}, Seqs: []uint32{9}}},
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
		m := New(self, Options{Clock: still{}})
		m.mu.Lock()
		m.learn(b.GetNews(), "node2")
		m.hearLevels(b.GetLevels(), "node2")
		m.mu.Unlock()
		if got := m.Self(); got.Config != 0 || got.State != tarragondeal.MemberAlive {
			t.Errorf("others' news made this node %+v", got)
		}
		me := tab.entries[self.Node]
		if me.State != tarragondeal.MemberAlive || me.Incarnation < self.Incarnation {
			t.Errorf("others' news made this node %+v", me)
		}
	})
}

// still is a clock that stands.
type still struct{}

func (still) Now() tarragondeal.Instant { return 1 }
func (still) Wall() time.Time           { return time.Unix(1, 0).UTC() }
