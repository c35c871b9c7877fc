package tdpoison

import (
	"slices"
	"time"

	"tarragondeal"
)

const (
	// silenceTTL is how long after an attempt without an answer the end of its server's run
	// counts as a crash. The entry of a server that sends nothing is removed after some
	// heartbeats, and a store that was unavailable takes longer.
	silenceTTL = 30 * time.Second
	// maxTransit is how long bytes that a server has sent may take to be read.
	maxTransit = 100 * time.Millisecond
	// maxSilentRuns bounds the runs with silences, and maxSilences the silences of one.
	maxSilentRuns = 128
	maxSilences   = 32
)

// silence is an attempt that ended without a complete answer, on a connection that did not
// break: the server was slow or cut off, the caller gave up, or the server has crashed and
// sends nothing. Only in the last case does its run end.
type silence struct {
	traits []Trait
	b      Break // When the attempt ended.
}

// silentRun holds the silences of one run of a server.
type silentRun struct {
	silences []silence
	ended    bool // The run has ended, and the silences are recorded as breaks.
}

// last returns when the last of the attempts ended.
func (s *silentRun) last() tarragondeal.Instant { return s.silences[len(s.silences)-1].b.At }

// Silent records that a request with the given traits got no complete answer, although its
// connection did not break. It counts as a break if the server's run ends without having
// answered anything since. Ended reports whether the run has ended before.
func (t *Table) Silent(traits []Trait, b Break, ended bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictSilent(t.Clock.Now())
	s := t.silent[b.Run]
	if s == nil {
		if len(t.silent) >= maxSilentRuns {
			return
		}
		s = &silentRun{ended: ended}
		t.silent[b.Run] = s
	}
	if len(s.silences) == maxSilences {
		s.silences = slices.Delete(s.silences, 0, 1)
	}
	s.silences = append(s.silences, silence{traits: traits, b: b})
	if s.ended {
		t.breakSilence(&s.silences[len(s.silences)-1])
	}
}

// evictSilent deletes the runs whose last silence is long ago.
func (t *Table) evictSilent(now tarragondeal.Instant) {
	for run, s := range t.silent {
		if now.Sub(s.last()) > silenceTTL {
			delete(t.silent, run)
		}
	}
}

// Alive records that a run of a server has answered a request, or rejected one. It has
// survived the requests that got no answer before.
func (t *Table) Alive(run Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.silent[run]
	if s == nil {
		return
	}
	now := t.Clock.Now()
	s.silences = slices.DeleteFunc(s.silences, func(x silence) bool {
		if now.Sub(x.b.At) <= maxTransit {
			return false
		}
		if s.ended {
			t.surviveSilence(&x, now)
		}
		return true
	})
	if len(s.silences) == 0 {
		delete(t.silent, run)
	}
}

// Ended records that a run of a server has ended without having said that it leaves. The
// requests that got no answer from it before count as breaks.
func (t *Table) Ended(run Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictSilent(t.Clock.Now())
	s := t.silent[run]
	if s == nil || s.ended {
		return
	}
	s.ended = true
	for n := range s.silences {
		t.breakSilence(&s.silences[n])
	}
}

// breakSilence records a silence as a break. A trait that was answered since did not
// crash the server.
func (t *Table) breakSilence(s *silence) {
	line := t.Log.Info().Str("server", string(s.b.Run.Server)).Int64("started", s.b.Run.Started).Dur("age", t.Clock.Now().Sub(s.b.At))
	if len(s.traits) > 0 {
		line = line.Str("id", hexID(s.traits[0].ID)).Stringer("trait", s.traits[0].Kind)
	}
	line.Msg("a server ended after it had not answered a request; it may have crashed under it")
	for _, trait := range s.traits {
		answered, ok := t.answers.Peek(trait)
		if ok && answered > s.b.At {
			continue
		}
		if !ok {
			answered = never
		}
		t.apply(change{trait: trait, kind: changeBroke, b: s.b, answered: answered}, "")
	}
}

// Left records that a run of a server has ended after it said that it leaves.
func (t *Table) Left(run Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.silent, run)
}

// Returned records that a run of a server is listed again after it had ended: its entry
// had expired, and it did not crash.
func (t *Table) Returned(run Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.silent[run]
	if s == nil || !s.ended {
		return
	}
	delete(t.silent, run)
	for n := range s.silences {
		t.surviveSilence(&s.silences[n], t.Clock.Now())
	}
}

// surviveSilence records that a server has survived a silence that was recorded as a break.
func (t *Table) surviveSilence(s *silence, now tarragondeal.Instant) {
	for _, trait := range s.traits {
		t.apply(change{trait: trait, kind: changeSurvived, b: Break{Run: s.b.Run, At: now}}, "")
	}
}

// forgetAnswered removes the fingerprint of a request that was answered from the silences.
// Parts are compared with the time of their last answer when a run ends.
func (t *Table) forgetAnswered(trait Trait) {
	for _, s := range t.silent {
		for n := range s.silences {
			if x := &s.silences[n]; len(x.traits) > 0 && x.traits[0] == trait {
				x.traits = x.traits[1:]
			}
		}
	}
}
