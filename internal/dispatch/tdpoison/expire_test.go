package tdpoison

import (
	"testing"
	"time"
)

// TestRefusedRequestIsTriedAgain guards against a request that is refused for ever since
// nodes repeat its crashes to one another, and start again meanwhile.
func TestRefusedRequestIsTriedAgain(t *testing.T) {
	f := newTestFleet(2)
	for n := range requestSequence {
		f.breakAt(n%2, n, 100*time.Millisecond, request(7))
		f.advance(time.Second)
	}
	if n := f.refusing(request(7)); n != 2 {
		t.Fatalf("refused at %d of 2 nodes", n)
	}
	accepted := false
	for passed := time.Duration(0); passed <= time.Minute && !accepted; passed += time.Second {
		f.restart(1)
		f.advance(time.Second)
		accepted = f.refusing(request(7)) < 2
	}
	if !accepted {
		t.Errorf("still refused at all nodes after a minute")
	}
}
