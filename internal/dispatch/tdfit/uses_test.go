package tdfit

import (
	"testing"
	"time"

	"tarragondeal"
)

// TestChangedUses guards against a use that peers never learn of, or that they go on counting after
// it has ended.
func TestChangedUses(t *testing.T) {
	f := &Fit{servers: make(map[tarragondeal.ServerID]*server), lastHeard: make(map[tarragondeal.NodeID]tarragondeal.Instant)}
	s := newServer(tarragondeal.Server{ID: "s"}, nil, 1)
	f.servers["s"] = s
	now := tarragondeal.Instant(time.Hour)
	sent := sentUses{last: make(map[tarragondeal.ServerID]use)}
	include := true
	running := func() (uint32, bool) {
		for _, u := range f.changedUses(&sent, func(tarragondeal.NodeID) bool { return include }, now) {
			return u.GetRunning(), true
		}
		return 0, false
	}
	report := func(n uint32) {
		f.lastHeard["peer"] = now
		f.receiveUses("peer", &Load{Uses: []*Use{{Server: "s", Running: n}}})
	}
	for _, c := range []struct {
		name   string
		change func()
		want   uint32
		sent   bool
	}{
		{"nothing yet", func() {}, 0, false},
		{"a request of this node", func() { f.changeUse(s); s.own.running++ }, 1, true},
		{"nothing new", func() {}, 0, false},
		{"requests of a peer", func() { report(3) }, 4, true},
		{"the peer's again", func() { report(3) }, 0, false},
		{"another node sends the peer's", func() { include = false; now = now.Add(usesInterval) }, 1, true},
		{"this node sends them again", func() { include = true; now = now.Add(usesInterval) }, 4, true},
		{"the peer is silent", func() { now = now.Add(peerUseTTL + time.Second) }, 1, true},
		{"the last request has ended", func() { f.changeUse(s); s.own.running-- }, 0, true},
	} {
		c.change()
		if got, ok := running(); got != c.want || ok != c.sent {
			t.Errorf("%s: %d, sent %t", c.name, got, ok)
		}
	}
	s.suspectUntil = now.Add(10 * time.Millisecond)
	f.changeUse(s)
	failing := func() []*Use { return f.changedUses(&sent, func(tarragondeal.NodeID) bool { return true }, now) }
	if u := failing(); len(u) != 1 || !u[0].GetFailing() {
		t.Errorf("failing: %v", u)
	}
	now = now.Add(usesInterval)
	if u := failing(); len(u) != 1 || u[0].GetFailing() {
		t.Errorf("not failing any more: %v", u)
	}
}
