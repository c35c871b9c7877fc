package tdfit

import (
	"testing"
	"time"

	"tarragondeal"
)

// TestLiveStreamsOfALargePool answers the load of live streams beside long prompts at a pool
// of many engines: prompts that go to the engines of live streams make these late.
func TestLiveStreamsOfALargePool(t *testing.T) {
	const (
		engines  = 140
		interval = 10 * time.Millisecond
		lasts    = 1500 * time.Millisecond
		rounds   = 1000
	)
	type run struct {
		tarragondeal.Grant
		until tarragondeal.Instant
	}
	for _, adaptive := range []bool{false, true} {
		w := newTestFit(engines)
		w.opt.Scarce = adaptive
		var live []run
		beside, used := 0, make(map[tarragondeal.ServerID]int)
		for n := range uint64(rounds) {
			for len(live) > 0 && live[0].until <= w.clock.now {
				w.Done(live[0].Grant, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
				if used[live[0].Server.ID]--; used[live[0].Server.ID] == 0 {
					delete(used, live[0].Server.ID)
				}
				live = live[1:]
			}
			g, err := w.reserve(liveStream())
			if err != nil {
				t.Fatal(err)
			}
			live, used[g.Server.ID] = append(live, run{g, w.clock.now.Add(lasts)}), used[g.Server.ID]+1
			long, err := w.reserve(longPrompt(n % 300))
			if err != nil {
				t.Fatal(err)
			}
			if used[long.Server.ID] > 0 {
				beside++
			}
			w.Done(long, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
			w.clock.now = w.clock.now.Add(interval)
		}
		t.Logf("adaptive %t: %d live streams at %d engines, %d of %d long prompts went to these", adaptive, len(live), len(used), beside, rounds)
		if beside > rounds/20 {
			t.Errorf("adaptive %t: %d live streams at %d engines, %d of %d long prompts went to these", adaptive, len(live), len(used), beside, rounds)
		}
	}
}
