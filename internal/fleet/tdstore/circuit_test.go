package tdstore

import (
	"testing"
	"time"

	"tarragondeal"
)

// TestRecoveryIsSpread checks for many nodes that urgent calls are admitted
// immediately after an outage, and other calls at times spread over the
// recovery period.
func TestRecoveryIsSpread(t *testing.T) {
	const nodes, spread = 350, 5 * time.Second
	end := tarragondeal.Instant(100).Add(time.Minute)
	var nodesPerSecond [spread / time.Second]int
	for range nodes {
		c := &circuit{maxFailures: 2, probeInterval: time.Second, recoverySpread: spread}
		if c.recordFailure(100) || !c.recordFailure(100) {
			t.Fatal("the circuit must open at the second failure")
		}
		if wait, ok := c.admit(true, 101); ok || wait >= 0 {
			t.Fatal("a call was admitted while the circuit is open")
		}
		if _, ok := c.admit(false, end); !ok {
			t.Fatal("no probe was admitted")
		}
		if _, ok := c.admit(false, end); ok {
			t.Fatal("two probes were admitted at once")
		}
		c.recordSuccess(end)
		if _, ok := c.admit(true, end); !ok {
			t.Error("an urgent call must wait")
		}
		wait, ok := c.admit(false, end)
		if ok {
			wait = 0
		}
		if wait > spread {
			t.Errorf("a call must wait for %s", wait)
		}
		if _, ok := c.admit(false, end.Add(wait)); !ok {
			t.Error("a call must wait again after its wait")
		}
		nodesPerSecond[min(wait, spread-1)/time.Second]++
	}
	for n, count := range nodesPerSecond {
		if count > nodes/2 {
			t.Errorf("%d of %d nodes resume calls in second %d", count, nodes, n)
		}
	}
}
