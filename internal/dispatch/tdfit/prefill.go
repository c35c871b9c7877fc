package tdfit

import (
	"time"

	"tarragondeal"
)

const (
	// slowHalfLife and fastHalfLife are the half-lives of the two prefill
	// averages. The fast one shows a burst sooner, but single long prompts
	// weigh more in it.
	slowHalfLife = 2 * time.Second
	fastHalfLife = 800 * time.Millisecond
	// minFastPrompts is the number of prompts from which the fast average is
	// used: its error is then about a twelfth.
	minFastPrompts = 150
	// ln2, divided by the half-life, turns a decaying sum into a rate.
	ln2 = 0.6931471805599453
)

// prefillMeter measures the prefill work that the engines of a pool receive.
type prefillMeter struct {
	slow, fast  decayingSum // Milliseconds of prefill.
	fastPrompts decayingSum // Prompts, weighted as in fast.
}

func newPrefillMeter() *prefillMeter {
	return &prefillMeter{slow: decayingSum{halfLife: slowHalfLife}, fast: decayingSum{halfLife: fastHalfLife}, fastPrompts: decayingSum{halfLife: fastHalfLife}}
}

func (m *prefillMeter) add(now tarragondeal.Instant, took time.Duration) {
	ms := took.Seconds() * 1000
	m.slow.add(now, ms)
	m.fast.add(now, ms)
	m.fastPrompts.add(now, 1)
}

// engines returns how many engines the prefill work would keep fully busy.
func (m *prefillMeter) engines(now tarragondeal.Instant) float64 {
	if m.fastPrompts.now(now) >= minFastPrompts {
		return m.fast.now(now) * ln2 / (fastHalfLife.Seconds() * 1000)
	}
	return m.slow.now(now) * ln2 / (slowHalfLife.Seconds() * 1000)
}

// Busy is the load of the engines of a pool.
type Busy struct {
	Reading float64 // Engines that prompt reading (prefill) alone would keep fully busy.
	Running int
	Tokens  int // KV cache tokens of the running requests.
}

// Busy returns the load that all nodes together put on the engines of a pool.
func (f *Fit) Busy(pool string) Busy {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	var out Busy
	if d := f.prefill[pool]; d != nil {
		out.Reading = d.engines(now)
	}
	for _, s := range f.servers {
		if s.Pool == pool {
			t := f.totalUse(s, now)
			out.Running += t.running
			out.Tokens += t.tokens
		}
	}
	return out
}

// Servers returns the servers of the last call of SetServers, in no order. Those that
// said that they are leaving are leaving.
func (f *Fit) Servers() []tarragondeal.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]tarragondeal.Server, 0, len(f.servers))
	for _, s := range f.servers {
		listed := s.Server
		if s.leaving {
			listed.State = tarragondeal.VMLeaving
		}
		out = append(out, listed)
	}
	return out
}

// View returns the configuration in force, or nil before the first.
func (f *Fit) View() *tarragondeal.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}
