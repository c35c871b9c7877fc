package tdfit

import (
	"sync"
	"time"

	"tarragondeal"
)

// demandHalf is the time after which half of what was asked for is forgotten.
const demandHalf = 2 * time.Second

// rates turn a decaying sum into an amount for each second.
const perSecond = 0.6931471805599453 // The natural logarithm of 2.

// Rates are what callers ask of one pool in a second.
type Rates struct {
	Prompt   float64 // Tokens.
	Output   float64 // Tokens.
	Requests float64
}

// demand counts what callers ask for.
type demand struct {
	clock tarragondeal.Clock
	mu    *sync.Mutex
	pools map[string]*asked
	heard map[tarragondeal.NodeID]heardDemand
}

type asked struct{ prompt, output, requests decaying }

type heardDemand struct {
	at    tarragondeal.Instant
	rates map[string]Rates
}

func newDemand(c tarragondeal.Clock) demand {
	return demand{clock: c, mu: &sync.Mutex{}, pools: make(map[string]*asked), heard: make(map[tarragondeal.NodeID]heardDemand)}
}

// add counts a request when it is asked for first.
func (d *demand) add(w *want) {
	if len(w.ask.Pools) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	pool := w.ask.Pools[0]
	a := d.pools[pool]
	if a == nil {
		a = &asked{prompt: decaying{half: demandHalf}, output: decaying{half: demandHalf}, requests: decaying{half: demandHalf}}
		d.pools[pool] = a
	}
	now := d.clock.Now()
	a.prompt.add(now, float64(w.input))
	a.output.add(now, float64(w.ask.Output))
	a.requests.add(now, 1)
}

func (a *asked) rates(now tarragondeal.Instant) Rates {
	scale := perSecond / demandHalf.Seconds()
	return Rates{
		Prompt: scale * a.prompt.now(now), Output: scale * a.output.now(now), Requests: scale * a.requests.now(now),
	}
}

// own returns what this node's callers ask for.
func (d *demand) own(now tarragondeal.Instant) []*Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*Demand
	for pool, a := range d.pools {
		r := a.rates(now)
		out = append(out, &Demand{Pool: pool, PromptTokens: r.Prompt, OutputTokens: r.Output, Requests: r.Requests})
	}
	return out
}

func (d *demand) hear(from tarragondeal.NodeID, told []*Demand, now tarragondeal.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := heardDemand{at: now, rates: make(map[string]Rates, len(told))}
	for _, t := range told {
		h.rates[t.GetPool()] = Rates{Prompt: t.GetPromptTokens(), Output: t.GetOutputTokens(), Requests: t.GetRequests()}
	}
	d.heard[from] = h
}

// Asked returns what the fleet's callers ask of a pool.
func (f *Fit) Asked(pool string) Rates {
	now := f.Clock.Now()
	d := &f.demand
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum Rates
	if a := d.pools[pool]; a != nil {
		sum = a.rates(now)
	}
	for _, h := range d.heard {
		if now.Sub(h.at) > othersFor {
			continue
		}
		r := h.rates[pool]
		sum.Prompt += r.Prompt
		sum.Output += r.Output
		sum.Requests += r.Requests
	}
	return sum
}
