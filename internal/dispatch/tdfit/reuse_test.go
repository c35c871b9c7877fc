package tdfit

import (
	"math"
	"testing"

	"tarragondeal"
)

// TestPromptBeyondMemory guards against the announced length of one prompt that makes all nodes
// avoid an engine for hours, expect nothing of its cache, and order servers: an engine
// doesn't read a prompt that exceeds its memory.
func TestPromptBeyondMemory(t *testing.T) {
	const tokens = 1 << 30
	huge := longPrompt(2)
	huge.Input, huge.Parts[0] = tokens, tarragondeal.PromptPart{ID: 99, Tokens: tokens}
	for _, c := range []struct {
		name string
		send func(w *testFit)
	}{
		{"a caller's", func(w *testFit) {
			if _, err := w.reserve(huge); err != nil {
				t.Fatal(err)
			}
		}},
		{"a peer's", func(w *testFit) {
			w.receiveSent("peer", []*Sent{{Server: "m0", Fresh: math.MaxUint32, Chain: []uint64{1, 2}, Tokens: []uint32{tokens, tokens}}}, w.clock.now)
		}},
	} {
		w := newTestFit(1)
		w.opt.Scarce = true
		a := longPrompt(1)
		if _, err := w.reserve(a); err != nil {
			t.Fatal(err)
		}
		s := w.servers["m0"]
		c.send(w)
		if got, most := s.fullBacklog(w.clock.now), s.prefillTime(s.engine.KVTokens+a.Input); got > most {
			t.Errorf("%s prompt leads to a backlog of %v, want %v at most", c.name, got, most)
		}
		if held := s.held.Expect(newRequest(&a).prefixes, s.engine.KVTokens); held.Tokens < 1000 {
			t.Errorf("%s prompt leads to %.0f tokens expected of one that was read before", c.name, held.Tokens)
		}
	}
}
