package tdclock_test

import (
	"context"
	"testing"
	"time"

	"tarragondeal/internal/base/tdclock"
)

// TestSleep checks that a wait ends with its time or with its context, and
// which of them it was.
func TestSleep(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name string
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		{"time passes", context.Background(), time.Millisecond, true},
		{"nothing to wait for", context.Background(), 0, true},
		{"time before now", context.Background(), -time.Hour, true},
		{"context has ended", ended, time.Hour, false},
		{"context has ended and nothing to wait for", ended, 0, false},
	} {
		if got := tdclock.Sleep(c.ctx, c.d); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
