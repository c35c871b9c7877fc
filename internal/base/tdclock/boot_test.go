package tdclock

import (
	"sync"
	"testing"
	"time"

	"tarragondeal"
)

// TestExtendReading guards against a lease that is taken for valid after a suspension, in
// which the monotonic clock stands still.
func TestExtendReading(t *testing.T) {
	const boot = tarragondeal.Instant(time.Hour)
	start := time.Now()
	for _, c := range []struct {
		name           string
		elapsed, moved time.Duration // By the monotonic clock, and by the wall clock beyond it.
		want           bool
	}{
		{"at once", 0, 0, true},
		{"later", 90 * time.Millisecond, 0, true},
		{"much later", 150 * time.Millisecond, 0, false},
		{"earlier", -time.Millisecond, 0, false},
		{"suspended for a second", 10 * time.Millisecond, time.Second, false},
		{"suspended for some milliseconds", 10 * time.Millisecond, 5 * time.Millisecond, false},
		{"the wall clock was set back", 10 * time.Millisecond, -time.Second, false},
		{"the wall clock is adjusted slowly", 90 * time.Millisecond, 50 * time.Microsecond, true},
	} {
		r := &reading{at: start, wall: start.Add(-c.moved).UnixNano(), boot: boot}
		got, ok := r.extend(start.Add(c.elapsed))
		if ok != c.want || ok && got != boot.Add(c.elapsed) {
			t.Errorf("%s: %v, %t", c.name, got, ok)
		}
	}
}

// TestNowFollowsBootClock guards against a clock that goes back, and one that leaves the boot
// clock.
func TestNowFollowsBootClock(t *testing.T) {
	clock := New()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			last := clock.Now()
			for until := time.Now().Add(300 * time.Millisecond); time.Now().Before(until); {
				before := readBoot()
				now := clock.Now()
				after := readBoot()
				if now < last {
					t.Errorf("went back by %v", last.Sub(now))
				}
				if now < before.Add(-time.Millisecond) || now > after.Add(time.Millisecond) {
					t.Errorf("%v from the boot clock", now.Sub(before))
				}
				last = now
			}
		})
	}
	wg.Wait()
}

func BenchmarkNow(b *testing.B) {
	clock := New()
	for b.Loop() {
		clock.Now()
	}
}

func BenchmarkNowWithSystemCall(b *testing.B) {
	var clock Clock
	for b.Loop() {
		clock.Now()
	}
}
