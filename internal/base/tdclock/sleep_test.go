package tdclock_test

import (
	"context"
	"testing"
	"time"

	"tarragondeal/internal/base/tdclock"
)

// TestSleep checks that Sleep returns when its time has elapsed or its context
// has ended, and that the result distinguishes the two.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{"time elapses", context.Background(), time.Millisecond, true},
		{"zero duration", context.Background(), 0, true},
		{"negative duration", context.Background(), -time.Hour, true},
		{"context has ended", ended, time.Hour, false},
		{"context has ended and zero duration", ended, 0, false},
	} {
		if got := tdclock.Sleep(c.ctx, c.d); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
