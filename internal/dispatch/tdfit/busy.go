package tdfit

import (
	"time"

	"tarragondeal"
)

const (
	// readingHalf is the time after which half of what engines were given to
	// read is forgotten.
	readingHalf = 2 * time.Second
	// ln2 turns a decaying sum into an amount for each of its half times.
	ln2 = 0.6931471805599453
)

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
		out.Reading = d.now(now) * ln2 / (readingHalf.Seconds() * 1000)
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
