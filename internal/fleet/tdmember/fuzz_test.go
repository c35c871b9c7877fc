package tdmember

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// FuzzBeat merges arbitrary heartbeats into a table and a membership.
func FuzzBeat(f *testing.F) {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	self := tarragondeal.Member{Node: "node1", DataCentre: "duluth", Incarnation: 7, Peer: addr, Entry: addr}
	for _, b := range []*Beat{
		{From: "node2", News: []*Record{encode(entry{Member: self})}},
		{From: "node2", News: []*Record{{Node: "node1", DataCentre: "duluth", Incarnation: 7, State: 1, Peer: encode(entry{Member: self}).GetPeer()}}},
		{News: []*Record{{Node: "x", State: 9}}},
		{Levels: &Levels{Ids: []uint64{incarnationID(self)}, Seqs: []uint32{9}, Configs: []uint64{3}, Loads: []uint32{1}}},
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
				t.Errorf("merging the same record of %s twice changed the table twice", e.Node)
			}
		}
		m := New(self, Options{Clock: fixedClock{}})
		m.mu.Lock()
		m.mergeRecords(b.GetNews(), "node2")
		m.mergeLevels(b.GetLevels(), "node2")
		m.mu.Unlock()
		if got := m.Self(); got.Config != 0 || got.State != tarragondeal.MemberAlive {
			t.Errorf("received updates changed this node to %+v", got)
		}
		me := tab.entries[self.Node]
		if me.State != tarragondeal.MemberAlive || me.Incarnation < self.Incarnation {
			t.Errorf("received updates changed this node to %+v", me)
		}
	})
}

// fixedClock is a clock that never advances.
type fixedClock struct{}

func (fixedClock) Now() tarragondeal.Instant { return 1 }
func (fixedClock) Wall() time.Time           { return time.Unix(1, 0).UTC() }
