package tdmesh

import (
	"sync"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

// Kinds of contents of states, beside the topics of their sections.
const (
	kindCopy     = "copy"     // Changes of the store.
	kindPresence = "presence" // The rest: the sender and the nodes for which it forwards.
)

// Links on which states are sent.
const (
	linkRelays      = "relayToRelay"
	linkRelayToLeaf = "relayToLeaf"
	linkLeafToRelay = "leafToRelay"
)

// stateCounter counts the encoded bytes of states by direction, link and kind of content.
// It is safe for concurrent use.
type stateCounter struct {
	scope tally.Scope

	mu    sync.Mutex
	known map[countKey]tally.Counter
}

type countKey struct{ direction, link, kind string }

func newStateCounter(scope tally.Scope) *stateCounter {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &stateCounter{scope: scope, known: make(map[countKey]tally.Counter)}
}

// add counts one state.
func (c *stateCounter) add(direction, link string, s *State) {
	rest := proto.Size(s)
	copied := len(s.GetPart().GetData())
	if s.GetCopy() != nil {
		copied += proto.Size(s.GetCopy())
	}
	for _, i := range s.GetAhead() {
		copied += proto.Size(i)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, section := range s.GetSections() {
		n := len(section.GetPayload())
		c.counter(direction, link, section.GetTopic()).Inc(int64(n))
		rest -= n
	}
	c.counter(direction, link, kindCopy).Inc(int64(copied))
	c.counter(direction, link, kindPresence).Inc(int64(rest - copied))
}

func (c *stateCounter) counter(direction, link, kind string) tally.Counter {
	k := countKey{direction: direction, link: link, kind: kind}
	if c.known[k] == nil {
		c.known[k] = c.scope.Tagged(map[string]string{"direction": direction, "link": link, "kind": kind}).Counter("stateBytes")
	}
	return c.known[k]
}

// linkOf returns the link of a stream, as seen by the sender of states if sent is true, and
// by the receiver otherwise.
func (w *stateWriter) linkOf(sent bool) string {
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	up := w.openedTo != "" && w.openedTo == w.m.parent
	switch {
	case w.peerIsLeaf && sent, up && !sent:
		return linkRelayToLeaf
	case w.peerIsLeaf, up:
		return linkLeafToRelay
	}
	return linkRelays
}
