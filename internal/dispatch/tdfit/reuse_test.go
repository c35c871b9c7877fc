package tdfit

import (
	"math"
	"testing"
	"time"

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
		if got, most := s.backlog(w.clock.now), s.prefillTime(s.engine.KVTokens+a.Input); got > most {
			t.Errorf("%s prompt leads to a backlog of %v, want %v at most", c.name, got, most)
		}
		if held := s.held.Expect(newRequest(&a).prefixes, s.engine.KVTokens); held.Tokens < 1000 {
			t.Errorf("%s prompt leads to %.0f tokens expected of one that was read before", c.name, held.Tokens)
		}
	}
}

// TestPrefixAtSlowMachine guards against a prefix that is taken for lost since the machine of its
// engine is slow at the moment: the engine is then expected to keep less than it does.
func TestPrefixAtSlowMachine(t *testing.T) {
	w := newTestFit(1)
	w.opt.Scarce = true
	s := w.servers["m0"]
	for range 200 {
		s.pace.ObserveSlowdown(1, w.clock.now)
	}
	g, err := w.reserve(longPrompt(1))
	if err != nil {
		t.Fatal(err)
	}
	w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	w.clock.now = w.clock.now.Add(5 * time.Second)
	again := longPrompt(1) // 9,000 tokens, of which the last 4,500 are new.
	again.Parts[2] = tarragondeal.PromptPart{ID: 7, Tokens: 4500}
	again.Input = 2500 + 3700 + 4500
	g, err = w.reserve(again)
	if err != nil {
		t.Fatal(err)
	}
	open := w.grants[g.ID]
	if open.held.Known != 6200 || !open.uncontended {
		t.Fatalf("%+v, uncontended %t", open.held, open.uncontended)
	}
	before := s.held.Trust()
	w.clock.now = w.clock.now.Add(firstTokenOverhead + 3*s.prefillTime(4500))
	s.pace.ObserveSlowdown(3, w.clock.now)
	w.Progress(g, 1)
	if got := s.held.Trust(); got < before {
		t.Errorf("trust falls from %.2f to %.2f although the prefix was cached", before, got)
	}
}

// TestHolderCount guards against the comparison of a request with engines of an earlier attempt to
// find it a server.
func TestHolderCount(t *testing.T) {
	w := newTestFit(2)
	w.opt.Scarce = true
	a := longPrompt(1)
	if _, err := w.reserve(a); err != nil {
		t.Fatal(err)
	}
	r := newRequest(&a)
	w.best(&r, "m", w.clock.now)
	if r.mostHeld < 1000 {
		t.Fatalf("%.0f tokens are expected", r.mostHeld)
	}
	w.listServers(0)
	w.listServers(2)
	w.best(&r, "m", w.clock.now)
	if r.mostHeld != 0 {
		t.Errorf("%.0f tokens are expected at engines that have read nothing", r.mostHeld)
	}
}
