package tdburn

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// Limits on the state of a node.
const (
	maxClasses   = 32
	maxPairs     = 8192
	maxWasteKeys = 128 // Pairs of cause and class.
)

// Other is the name under which classes, workspaces and causes beyond the
// limits are counted together.
const Other = "(other)"

// Deps are the dependencies of the recorder.
type Deps struct {
	Config tarragondeal.Config // Holds the targets of the classes.
	Clock  tarragondeal.Clock
	// Scope receives counters of requests by class and result. It may be nil.
	Scope tally.Scope
}

// Recorder records the requests and the wasted work of one node. It implements
// tarragondeal.Burn.
type Recorder struct {
	Deps
	start                tarragondeal.Instant
	mu                   sync.Mutex
	classes              map[string]*class
	pairs                *simplelru.LRU[pairKey, *pair]
	otherPairs           map[string]*pair // Sums of the evicted pairs, by class.
	waste                map[wasteKey]*ring[wasteCounts]
	foldedPairs          int64                // Evictions from pairs.
	predecessorsObserved time.Duration        // The longest time measured by nodes that handed over to this one.
	handedOver           bool                 // This node's figures have been handed over.
	now                  tarragondeal.Instant // Set by the call that holds mu; read by evictPair.
}

type pairKey struct{ workspace, class string }

type wasteKey struct{ cause, class string }

// New returns a recorder without samples.
func New(d Deps) *Recorder {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	b := &Recorder{
		Deps: d, start: d.Clock.Now(), classes: make(map[string]*class),
		otherPairs: make(map[string]*pair), waste: make(map[wasteKey]*ring[wasteCounts]),
	}
	// NewLRU returns an error only for sizes below one.
	b.pairs, _ = simplelru.NewLRU(maxPairs, b.evictPair)
	return b
}

// Observe counts one request. It waits for nothing but the mutex.
func (b *Recorder) Observe(s tarragondeal.Sample) {
	var rc *tarragondeal.RequestClass
	if v := b.Config.View(); v != nil {
		rc = v.RequestClasses[s.Class]
	}
	ok := meetsTargets(&s, rc)
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

// class returns the state of a class and the name that it is kept under,
// which is Other if the limit on classes is reached.
func (b *Recorder) class(name string) (*class, string) {
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

func (b *Recorder) pair(key pairKey) *pair {
	p, ok := b.pairs.Get(key)
	if !ok {
		p = newPair()
		b.pairs.Add(key, p)
	}
	return p
}

// evictPair is the eviction callback of pairs. It adds the pair's counts to
// those of the class's other evicted pairs.
func (b *Recorder) evictPair(key pairKey, p *pair) {
	b.foldedPairs++
	b.otherPair(key.class).merge(b.now, p)
}

func (b *Recorder) otherPair(class string) *pair {
	o := b.otherPairs[class]
	if o == nil {
		o = newPair()
		b.otherPairs[class] = o
	}
	return o
}

// Waste counts one request whose work was done but not delivered.
func (b *Recorder) Waste(cause, class string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.Clock.Now()
	w := b.wasteRing(wasteKey{cause, class}).at(b.now)
	w.requests++
	w.tokens += int64(max(tokens, 0))
}

func (b *Recorder) wasteRing(key wasteKey) *ring[wasteCounts] {
	r := b.waste[key]
	if r == nil && len(b.waste) >= maxWasteKeys {
		key = wasteKey{Other, Other}
		r = b.waste[key]
	}
	if r == nil {
		r = newRing[wasteCounts](coarseWidth, coarseSpan)
		b.waste[key] = r
	}
	return r
}

// wasteWindow is the period that the report covers for waste.
const wasteWindow = 72 * time.Hour

// pairWindows are the windows reported for workspaces.
var pairWindows = []time.Duration{time.Hour, 6 * time.Hour, 72 * time.Hour}

// snapshot returns the measures of this node in wire format. After a hand-over
// they contain no requests and no waste.
func (b *Recorder) snapshot() *Measures {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.Clock.Now()
	observed := b.now.Sub(b.start)
	out := &Measures{
		ObservedMillis: observed.Milliseconds(), LongestMillis: max(observed, b.predecessorsObserved).Milliseconds(), FoldedPairs: b.foldedPairs,
	}
	if b.handedOver {
		return out
	}
	for name, c := range b.classes {
		out.Classes = append(out.Classes, b.classMeasures(name, c))
	}
	for _, key := range b.pairs.Keys() {
		p, _ := b.pairs.Peek(key)
		out.addPair(b.now, key, p)
	}
	for name, p := range b.otherPairs {
		out.addPair(b.now, pairKey{Other, name}, p)
	}
	for key, r := range b.waste {
		w := &WasteMeasures{Cause: key.cause, Class: key.class}
		r.last(b.now, wasteWindow, func(x *wasteCounts) {
			w.Requests += x.requests
			w.Tokens += x.tokens
		})
		out.Waste = append(out.Waste, w)
	}
	return out
}

func (b *Recorder) classMeasures(name string, c *class) *ClassMeasures {
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

// addPair adds a pair if it had a request in any window.
func (m *Measures) addPair(now tarragondeal.Instant, key pairKey, p *pair) {
	out := &PairMeasures{Workspace: key.workspace, Class: key.class}
	hasRequests := false
	for _, window := range pairWindows {
		n := p.sum(now, window)
		out.Good = append(out.Good, n.good)
		out.Bad = append(out.Bad, n.bad)
		hasRequests = hasRequests || n != goodBad{}
	}
	if hasRequests {
		m.Pairs = append(m.Pairs, out)
	}
}
