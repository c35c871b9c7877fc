package tdstore

import (
	"testing"
	"time"

	"tarragondeal"
)

// TestReturnIsSpread checks of many nodes that urgent calls go on at once
// after an outage, and the others at moments spread over the time for it.
func TestReturnIsSpread(t *testing.T) {
	const nodes, spread = 350, 5 * time.Second
	back := tarragondeal.Instant(100).Add(time.Minute)
	var seconds [spread / time.Second]int
	for range nodes {
		c := &circuit{failures: 2, probe: time.Second, spread: spread}
		if c.gone(100) || !c.gone(100) {
			t.Fatal("the service counts as away after two calls, not before")
		}
		if wait, ok := c.admit(true, 101); ok || wait >= 0 {
			t.Fatal("a call was made while the service is away")
		}
		if _, ok := c.admit(false, back); !ok {
			t.Fatal("no try was made")
		}
		if _, ok := c.admit(false, back); ok {
			t.Fatal("two tries were made at once")
		}
		c.succeeded(back)
		if _, ok := c.admit(true, back); !ok {
			t.Error("an urgent call waits")
		}
		wait, ok := c.admit(false, back)
		if ok {
			wait = 0
		}
		if wait > spread {
			t.Errorf("a call waits for %s", wait)
		}
		if _, ok := c.admit(false, back.Add(wait)); !ok {
			t.Error("a call that has waited waits again")
		}
		seconds[min(wait, spread-1)/time.Second]++
	}
	for n, count := range seconds {
		if count > nodes/2 {
			t.Errorf("%d of %d nodes return in second %d", count, nodes, n)
		}
	}
}
