package tdfit

import (
	"time"

	"tarragondeal"
)

const (
	// steadyHalf and quickHalf are the times after which half of what engines were
	// given to read is forgotten. A burst shows sooner in the second, and single
	// long prompts weigh more in it.
	steadyHalf = 2 * time.Second
	quickHalf  = 800 * time.Millisecond
	// quickPrompts is how many prompts the quick measure must hold to be used: its
	// error is then about a twelfth.
	quickPrompts = 150
	// ln2 turns a decaying sum into an amount for each of its half times.
	ln2 = 0.6931471805599453
)

// reading measures what the engines of a pool are given to read.
type reading struct {
	steady, quick decaying // Milliseconds.
	prompts       decaying // In the quick measure.
}

func newReading() *reading {
	return &reading{steady: decaying{half: steadyHalf}, quick: decaying{half: quickHalf}, prompts: decaying{half: quickHalf}}
}

func (r *reading) add(now tarragondeal.Instant, took time.Duration) {
	ms := took.Seconds() * 1000
	r.steady.add(now, ms)
	r.quick.add(now, ms)
	r.prompts.add(now, 1)
}

// engines returns how many engines would do nothing but read.
func (r *reading) engines(now tarragondeal.Instant) float64 {
	if r.prompts.now(now) >= quickPrompts {
		return r.quick.now(now) * ln2 / (quickHalf.Seconds() * 1000)
	}
	return r.steady.now(now) * ln2 / (steadyHalf.Seconds() * 1000)
}

// Busy is what the engines of a pool have to do.
type Busy struct {
	Reading float64 // Engines that would do nothing but read prompts.
	Running int
	Tokens  int // Memory that the running requests take.
}

// Busy returns what all nodes have given the engines of a pool to do.
func (f *Fit) Busy(pool string) Busy {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	var out Busy
	if d := f.reading[pool]; d != nil {
		out.Reading = d.engines(now)
	}
	for _, s := range f.servers {
		if s.Pool == pool {
			t := f.total(s, now)
			out.Running += t.running
			out.Tokens += t.tokens
		}
	}
	return out
}

// Servers returns the servers that are listed.
func (f *Fit) Servers() []tarragondeal.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]tarragondeal.Server, 0, len(f.servers))
	for _, s := range f.servers {
		out = append(out, s.Server)
	}
	return out
}

// View returns the configuration in force, or nil before the first.
func (f *Fit) View() *tarragondeal.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}
