package tdpace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdpace"
)

// simulated is an engine whose events take times like those of a real one.
type simulated struct {
	stride     int
	step       time.Duration // Of one token, with one request.
	perRequest time.Duration // Added to a step by each further request.
	chunk      time.Duration // Time to read one chunk of a prompt.
	speed      float64
}

// pause returns the time of an event, during which the engine reads prompts for a time.
func (s *simulated) pause(running int, backlog time.Duration, slowdown float64) time.Duration {
	d := time.Duration(s.stride) * (s.step + time.Duration(running)*s.perRequest)
	for range s.stride {
		d += min(s.chunk, backlog)
		backlog -= min(s.chunk, backlog)
	}
	return time.Duration(float64(d) * s.speed * slowdown)
}

func within(got, want time.Duration, share float64) bool {
	return float64(got) > (1-share)*float64(want) && float64(got) < (1+share)*float64(want)
}

// TestPausesBesideLongPrompts answers the load of live streams beside long prompts at engines
// whose steps read more or fewer prompt tokens: streams are late by their pauses if all engines
// are assumed to read equally many.
func TestPausesBesideLongPrompts(t *testing.T) {
	const reading = 0.3 // Share of events during which prompts are read.
	for _, c := range []struct {
		name    string
		engine  simulated
		running int
		gap     time.Duration
		tight   bool
	}{
		{"large chunks", simulated{stride: 5, step: 5 * time.Millisecond, chunk: 107 * time.Millisecond, speed: 1}, 8, 400 * time.Millisecond, true},
		{"large chunks, longer pauses permitted", simulated{stride: 5, step: 5 * time.Millisecond, chunk: 107 * time.Millisecond, speed: 1}, 8, 1500 * time.Millisecond, false},
		{"small chunks", simulated{stride: 5, step: 5 * time.Millisecond, chunk: 27 * time.Millisecond, speed: 1}, 8, 400 * time.Millisecond, false},
		{"full batches", simulated{stride: 7, step: 3 * time.Millisecond, perRequest: 100 * time.Microsecond, chunk: 18 * time.Millisecond, speed: 1}, 48, 200 * time.Millisecond, true},
	} {
		r := rand.New(rand.NewPCG(1, 2))
		p := tdpace.NewPool(tdpace.Defaults{Event: 20 * time.Millisecond})
		e := p.NewEngine()
		now := tarragondeal.Instant(time.Hour)
		if got := e.Pause(c.running, time.Second, now); got < time.Second {
			t.Errorf("%s: a pause of %v is expected before anything is learnt", c.name, got)
		}
		for range 4000 {
			backlog := time.Duration(0)
			if r.Float64() < reading {
				backlog = time.Duration(r.ExpFloat64() * float64(2*time.Second))
			}
			slowdown := 0.7 + 0.9*r.Float64()
			e.ObserveSlowdown(slowdown, now)
			e.ObserveEvent(c.running, c.engine.pause(c.running, backlog, slowdown), now)
			now = now.Add(30 * time.Millisecond)
		}
		if pause := e.Pause(c.running, time.Hour, now); (pause > c.gap*85/100) != c.tight {
			t.Errorf("%s: a pause of %v is expected, %v is permitted", c.name, pause, c.gap)
		}
		if got, want := p.Event(c.running), c.engine.pause(c.running, 0, 1); !within(got, want, 0.3) {
			t.Errorf("%s: an event takes %v, got %v", c.name, want, got)
		}
	}
}

// TestEnginesOfDifferentSpeed answers the load of uneven servers: streams are late at the slow
// ones if all engines of a pool are taken for equally fast.
func TestEnginesOfDifferentSpeed(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	p := tdpace.NewPool(tdpace.Defaults{Event: 20 * time.Millisecond})
	now := tarragondeal.Instant(time.Hour)
	speeds := []float64{0.6, 1, 1, 1.6}
	engines := make([]*tdpace.Engine, len(speeds))
	for n := range engines {
		engines[n] = p.NewEngine()
	}
	for range 4000 {
		n := r.IntN(len(speeds))
		s := simulated{stride: 5, step: 5 * time.Millisecond, speed: speeds[n]}
		engines[n].ObserveEvent(4, s.pause(4, 0, 1), now)
		now = now.Add(10 * time.Millisecond)
	}
	for n := 1; n < len(speeds); n++ {
		faster, slower := engines[n-1].Event(4, now), engines[n].Event(4, now)
		if speeds[n] > speeds[n-1] && slower < faster*5/4 {
			t.Errorf("events take %v at speed %.1f and %v at %.1f", faster, speeds[n-1], slower, speeds[n])
		}
	}
	later := now.Add(5 * time.Minute)
	if got := engines[3].Speed(later); got > 1.01 {
		t.Errorf("an engine without samples for minutes has speed %.2f", got)
	}
}

// TestReportedSlowdownFades guards against decisions by a report that is old: the figure
// changes many times a second.
func TestReportedSlowdownFades(t *testing.T) {
	e := tdpace.NewPool(tdpace.Defaults{}).NewEngine()
	now := tarragondeal.Instant(time.Hour)
	if e.Slowdown(now) != 1 || e.RelativeSlowdown(now) != 1 {
		t.Error("an engine that has reported nothing is not as fast as usual")
	}
	for range 100 {
		e.ObserveSlowdown(1, now)
	}
	for _, s := range []float64{-1, 0} {
		e.ObserveSlowdown(s, now)
	}
	e.ObserveSlowdown(3, now)
	if got := e.Slowdown(now); got < 2.9 {
		t.Errorf("slowdown is %.2f at the time of a report of 3", got)
	}
	if got := e.Slowdown(now.Add(1500 * time.Millisecond)); got > 1.5 {
		t.Errorf("slowdown is %.2f long after a report", got)
	}
	e.ObserveSlowdown(1e9, now)
	if got := e.Slowdown(now); got > 10 {
		t.Errorf("slowdown %.2f is not bounded", got)
	}
}

// TestEngineMuchSlowerThanItsPool answers the load of uneven servers of which one is slower by more
// than the delay that is attributed to reading: it is never learnt to be slow if all its events are
// taken for events during which it read prompts.
func TestEngineMuchSlowerThanItsPool(t *testing.T) {
	for _, speed := range []float64{1.6, 2, 2.6} {
		r := rand.New(rand.NewPCG(1, 2))
		p := tdpace.NewPool(tdpace.Defaults{Event: 20 * time.Millisecond})
		now := tarragondeal.Instant(time.Hour)
		engines := []*tdpace.Engine{p.NewEngine(), p.NewEngine(), p.NewEngine(), p.NewEngine()}
		for range 4000 {
			n := r.IntN(len(engines))
			s := simulated{stride: 5, step: 5 * time.Millisecond, speed: 1}
			if n == 0 {
				s.speed = speed
			}
			engines[n].ObserveEvent(4, time.Duration((0.95+0.1*r.Float64())*float64(s.pause(4, 0, 1))), now)
			now = now.Add(10 * time.Millisecond)
		}
		if got := engines[0].Speed(now) / engines[1].Speed(now); got < 0.8*speed || got > 1.2*speed {
			t.Errorf("events take %.1f times as long as at other engines, %.2f is learnt", speed, got)
		}
	}
}

// TestUnexpectedWaits answers the load of a burst that reaches engines from many nodes before
// any of them knows of the others' requests: requests wait for longer than each node estimates,
// and none is held back or refused.
func TestUnexpectedWaits(t *testing.T) {
	p := tdpace.NewPool(tdpace.Defaults{})
	now := tarragondeal.Instant(time.Hour)
	const estimated = 200 * time.Millisecond
	for range 50 {
		p.ObserveWait(estimated, estimated, now)
	}
	if got := p.UnexpectedWait(now); got != 0 {
		t.Errorf("%v without a burst", got)
	}
	for range 30 {
		now = now.Add(50 * time.Millisecond)
		p.ObserveWait(estimated, 1200*time.Millisecond, now)
	}
	if got := p.UnexpectedWait(now); got < 500*time.Millisecond || got > time.Second {
		t.Errorf("%v in a burst that delays requests by 1s", got)
	}
	if got := p.UnexpectedWait(now.Add(5 * time.Second)); got > 50*time.Millisecond {
		t.Errorf("%v long after a burst", got)
	}
	for range 200 {
		p.ObserveWait(time.Hour, 0, now)
	}
	if got := p.UnexpectedWait(now); got != 0 {
		t.Errorf("%v where requests wait for less than estimated", got)
	}
}
