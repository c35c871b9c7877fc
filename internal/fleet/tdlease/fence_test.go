package tdlease

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdera"
)

// TestTokensRise guards against fencing tokens that are given twice or go back, because the
// revisions of the store did or because no node knows the tokens before.
func TestTokensRise(t *testing.T) {
	const now = 1_700_000_000_000
	for _, c := range []struct {
		name     string
		era      tarragondeal.Era
		complete bool
		known    uint64
		rev      uint64
		millis   int64
		revision bool // The token is the revision, as builds before expect.
	}{
		{"first term", 0, true, 0, 5, now, true},
		{"later revision", 0, true, 5, 9, now, true},
		{"revision given again", 0, true, 9, 9, now, false},
		{"earlier revision", 0, true, 9, 5, now, false},
		{"later era", now, true, 9, 50, now, false},
		{"nobody remembers", 0, false, 0, 50, now, false},
		{"after a time", now, true, now << holderBits, 50, now + 1, false},
		{"the same time", now, true, now<<holderBits | 1<<holderBits - 1, 50, now, false},
		{"the clock went back", now, true, (now + 60_000) << holderBits, 50, now, false},
		{"the clock is wrong", now, true, now << holderBits, 50, -1, false},
		{"revisions after a time", 0, true, now << holderBits, 50, now, false},
	} {
		eras := tdera.New(tdclock.New(), zerolog.Nop(), nil)
		eras.Start(tarragondeal.Position{Era: c.era}, "test")
		seen := make(map[uint64]string)
		for _, holder := range []string{"node-1/1", "node-2/1"} {
			f := NewFences(holder, eras, func() time.Time { return time.UnixMilli(c.millis) }, func() bool { return c.complete })
			f.Raise(c.known)
			last := c.known
			for n := range uint64(3) {
				token := f.next(c.rev + n)
				if token <= last {
					t.Errorf("%s: token %d of %s after %d", c.name, token, holder, last)
				}
				if c.revision != (token == c.rev+n) {
					t.Errorf("%s: token %d of %s at revision %d", c.name, token, holder, c.rev+n)
				}
				if token >= 1<<53 {
					t.Errorf("%s: token %d can't be a number in JSON", c.name, token)
				}
				if other, ok := seen[token]; ok && !c.revision {
					t.Errorf("%s: token %d of %s and of %s", c.name, token, holder, other)
				}
				seen[token] = holder
				last = token
			}
		}
	}
}
