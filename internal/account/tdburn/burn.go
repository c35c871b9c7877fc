package tdburn

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// Bounds of what a node keeps.
const (
	maxClasses = 32
	maxPairs   = 8192
	maxCauses  = 128 // Pairs of cause and class.
)

// Other stands for classes, workspaces and causes over the bounds.
const Other = "(other)"

// Deps are what the measuring needs.
type Deps struct {
	Config tarragondeal.Config // For the classes' targets.
	Clock  tarragondeal.Clock
	// Scope counts requests by class and result for scrapers. It may be nil.
	Scope tally.Scope
}

// Burn measures one node. It implements tarragondeal.Burn.
type Burn struct {
	Deps
	start   tarragondeal.Instant
	mu      sync.Mutex
	classes map[string]*class
	pairs   *simplelru.LRU[pairKey, *pair]
	others  map[string]*pair // By class: pairs that had to make room.
	waste   map[wasteKey]*ring[wasted]
	folded  int64
	longest time.Duration        // For how long inherited figures had been measured.
	left    bool                 // The figures were handed over.
	now     tarragondeal.Instant // Of the call that holds the lock.
}

type pairKey struct{ workspace, class string }

type wasteKey struct{ cause, class string }

// New returns a measuring that has seen nothing yet.
func New(d Deps) *Burn {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	b := &Burn{
		Deps: d, start: d.Clock.Now(), classes: make(map[string]*class),
		others: make(map[string]*pair), waste: make(map[wasteKey]*ring[wasted]),
	}
	// The error is for sizes below one.
	b.pairs, _ = simplelru.NewLRU(maxPairs, b.fold)
	return b
}

// Observe counts one request. It does not block on anything but other
// calls of this kind.
func (b *Burn) Observe(s tarragondeal.Sample) {
	var rc *tarragondeal.RequestClass
	if v := b.Config.View(); v != nil {
		rc = v.RequestClasses[s.Class]
	}
	ok := good(&s, rc)
	n := goodBad{bad: 1}
	if ok {
		n = goodBad{good: 1}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.Clock.Now()
	name := s.Class
	if rc == nil {
		name = Other
	}
	c, name := b.class(name)
	c.add(b.now, &s, countsOf(&s, ok))
	c.count(ok)
	b.pair(pairKey{s.Workspace, name}).add(b.now, n)
}

// class returns what is kept of a class and under which name: beyond the
// bound classes share one.
func (b *Burn) class(name string) (*class, string) {
	if b.classes[name] == nil && len(b.classes) >= maxClasses {
		name = Other
	}
	c := b.classes[name]
	if c == nil {
		c = newClass(b.Scope.Tagged(map[string]string{"class": name}))
		b.classes[name] = c
	}
	return c, name
}

func (b *Burn) pair(key pairKey) *pair {
	p, ok := b.pairs.Get(key)
	if !ok {
		p = newPair()
		b.pairs.Add(key, p)
	}
	return p
}

// fold takes a pair that had to make room into its class's other pairs.
func (b *Burn) fold(key pairKey, p *pair) {
	b.folded++
	b.other(key.class).fold(b.now, p)
}

func (b *Burn) other(class string) *pair {
	o := b.others[class]
	if o == nil {
		o = newPair()
		b.others[class] = o
	}
	return o
}

// Waste counts work that was done and not delivered.
func (b *Burn) Waste(cause, class string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.Clock.Now()
	w := b.wasteOf(wasteKey{cause, class}).at(b.now)
	w.requests++
	w.tokens += int64(max(tokens, 0))
}

func (b *Burn) wasteOf(key wasteKey) *ring[wasted] {
	r := b.waste[key]
	if r == nil && len(b.waste) >= maxCauses {
		key = wasteKey{Other, Other}
		r = b.waste[key]
	}
	if r == nil {
		r = newRing[wasted](coarseWidth, coarseSpan)
		b.waste[key] = r
	}
	return r
}

// wasteWindow is how far back the report looks for waste.
const wasteWindow = 72 * time.Hour

// pairWindows are the windows of the figures of workspaces.
var pairWindows = []time.Duration{time.Hour, 6 * time.Hour, 72 * time.Hour}

// measures returns what this node has measured, as it travels.
func (b *Burn) measures() *Measures {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.Clock.Now()
	observed := b.now.Sub(b.start)
	out := &Measures{
		ObservedMillis: observed.Milliseconds(), LongestMillis: max(observed, b.longest).Milliseconds(), FoldedPairs: b.folded,
	}
	if b.left {
		return out
	}
	for name, c := range b.classes {
		out.Classes = append(out.Classes, b.classMeasures(name, c))
	}
	for _, key := range b.pairs.Keys() {
		p, _ := b.pairs.Peek(key)
		out.addPair(b.now, key, p)
	}
	for name, p := range b.others {
		out.addPair(b.now, pairKey{Other, name}, p)
	}
	for key, r := range b.waste {
		w := &WasteMeasures{Cause: key.cause, Class: key.class}
		r.last(b.now, wasteWindow, func(x *wasted) {
			w.Requests += x.requests
			w.Tokens += x.tokens
		})
		out.Waste = append(out.Waste, w)
	}
	return out
}

func (b *Burn) classMeasures(name string, c *class) *ClassMeasures {
	out := &ClassMeasures{Class: name}
	for _, window := range Windows {
		n := c.sum(b.now, window)
		h := c.latencies.sum(b.now, window)
		out.Windows = append(out.Windows, &WindowMeasures{
			Good: int64(n.good), Bad: int64(n.bad), Refused: int64(n.refused), Failed: int64(n.failed),
			Reclaimable: int64(n.reclaimable), WorkNanos: int64(n.work),
			ReclaimableWorkNanos: int64(n.reclaimableWork),
			FirstToken:           h[firstToken], BetweenTokens: h[betweenTokens], Total: h[total],
		})
	}
	out.TimelineGood, out.TimelineBad = c.timeline(b.now)
	return out
}

// addPair adds a pair unless it had no request in any window.
func (m *Measures) addPair(now tarragondeal.Instant, key pairKey, p *pair) {
	out := &PairMeasures{Workspace: key.workspace, Class: key.class}
	any := false
	for _, window := range pairWindows {
		n := p.sum(now, window)
		out.Good = append(out.Good, n.good)
		out.Bad = append(out.Bad, n.bad)
		any = any || n != goodBad{}
	}
	if any {
		m.Pairs = append(m.Pairs, out)
	}
}
