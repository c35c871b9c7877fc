package tdload_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdload"
	_ "tarragondeal/internal/test/tdtestseed"
)

// TestLag runs grants and external work on a server whose reports are delayed. It
// checks that granted work is never counted as external, and that lasting external
// work is counted after two reports.
func TestLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type span struct{ start, end tarragondeal.Instant }
		var spans []span
		external := rapid.IntRange(0, 5).Draw(t, "external")
		lag := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "lag"))
		l := tdload.New()
		open := map[uint64]int{}
		var now tarragondeal.Instant
		running := func(at tarragondeal.Instant) int {
			n := 0
			for _, s := range spans {
				if s.start <= at && (s.end == 0 || s.end > at) {
					n++
				}
			}
			return n
		}
		const second = tarragondeal.Instant(time.Second)
		for step := range uint64(40) {
			now += tarragondeal.Instant(rapid.Int64Range(int64(time.Millisecond), int64(time.Second)).Draw(t, "wait"))
			if rapid.Bool().Draw(t, "start") {
				l.Start(step, now)
				open[step] = len(spans)
				spans = append(spans, span{start: now})
			}
			for ticket, n := range open {
				if ticket%3 == step%3 {
					l.End(ticket, now)
					spans[n].end = now
					delete(open, ticket)
				}
			}
			at := now.Add(-lag)
			l.Report(now, tarragondeal.Load{Running: running(at) + external, Age: lag})
			if l.External() > external {
				t.Fatalf("%d external, want at most %d", l.External(), external)
			}
		}
		// All grants ended long before the reports, so the count is exact.
		for range 3 {
			now += 10 * second
			for ticket := range open {
				l.End(ticket, now)
				delete(open, ticket)
			}
			l.Report(now, tarragondeal.Load{Running: external, Age: lag})
		}
		if l.External() != external {
			t.Fatalf("%d external without grants, want %d", l.External(), external)
		}
	})
}

func ExampleLedger() {
	l := tdload.New()
	now := tarragondeal.Instant(time.Minute)
	l.Start(1, now)
	later := now.Add(2 * time.Second)
	l.Report(later, tarragondeal.Load{Running: 3, Age: time.Second})
	l.Report(later.Add(time.Second), tarragondeal.Load{Running: 3, Age: time.Second})
	fmt.Println(l.External(), "of 3 are external")
	// Output: 2 of 3 are external
}
