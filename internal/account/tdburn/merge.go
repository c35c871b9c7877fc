package tdburn

import (
	"time"

	"tarragondeal"
)

// mergedMeasures is the sum of the measures of several nodes.
type mergedMeasures struct {
	nodes       []tarragondeal.NodeID
	missing     []tarragondeal.NodeID // Nodes that did not answer, or whose measures are malformed.
	minObserved time.Duration         // Shortest time for which a node has measured.
	maxObserved time.Duration         // Longest time, including that of nodes that handed over to others.
	classes     map[string]*mergedClass
	pairs       map[pairKey]*mergedPair
	waste       map[wasteKey]*wasteCounts
	foldedPairs int64 // Evictions of pairs at all nodes.
}

type mergedClass struct {
	windows                   []mergedWindow        // In the order of Windows.
	timelineGood, timelineBad [timelinePoints]int64 // Newest first.
}

type mergedWindow struct {
	good, bad, refused, failed, reclaimable int64
	work, reclaimableWork                   time.Duration
	latency                                 [latencyKinds]bins
}

type mergedPair struct{ good, bad [3]int64 } // For each of the three pairWindows.

func newMergedMeasures() *mergedMeasures {
	return &mergedMeasures{
		classes: make(map[string]*mergedClass), pairs: make(map[pairKey]*mergedPair),
		waste: make(map[wasteKey]*wasteCounts),
	}
}

// add adds one node's measures. Malformed ones are rejected as a whole.
func (m *mergedMeasures) add(n tarragondeal.NodeID, in *Measures) error {
	if err := validate(in); err != nil {
		return err
	}
	observed := time.Duration(in.ObservedMillis) * time.Millisecond
	if len(m.nodes) == 0 || observed < m.minObserved {
		m.minObserved = observed
	}
	m.maxObserved = max(m.maxObserved, observed, time.Duration(in.LongestMillis)*time.Millisecond)
	m.nodes = append(m.nodes, n)
	m.foldedPairs += in.FoldedPairs
	for _, c := range in.Classes {
		m.class(c.Class).add(c)
	}
	for _, p := range in.Pairs {
		m.addPair(p)
	}
	for _, w := range in.Waste {
		m.addWaste(w)
	}
	return nil
}

// validate returns an error for malformed measures. add calls it before it changes
// anything, so that such measures are rejected as a whole.
func validate(in *Measures) error {
	scratch := newBins()
	for _, c := range in.Classes {
		if len(c.Windows) != len(Windows) || len(c.TimelineGood) != timelinePoints || len(c.TimelineBad) != timelinePoints {
			return errMalformed
		}
		for _, w := range c.Windows {
			for _, packed := range []*LatencyCounts{w.FirstToken, w.BetweenTokens, w.Total} {
				if err := scratch.add(packed); err != nil {
					return err
				}
			}
		}
	}
	for _, p := range in.Pairs {
		if len(p.Good) != len(pairWindows) || len(p.Bad) != len(pairWindows) {
			return errMalformed
		}
	}
	return nil
}

func (m *mergedMeasures) class(name string) *mergedClass {
	c := m.classes[name]
	if c != nil {
		return c
	}
	c = &mergedClass{windows: make([]mergedWindow, len(Windows))}
	for k := range c.windows {
		for n := range c.windows[k].latency {
			c.windows[k].latency[n] = newBins()
		}
	}
	m.classes[name] = c
	return c
}

func (c *mergedClass) add(in *ClassMeasures) {
	for k, w := range in.Windows {
		to := &c.windows[k]
		to.good += w.Good
		to.bad += w.Bad
		to.refused += w.Refused
		to.failed += w.Failed
		to.reclaimable += w.Reclaimable
		to.work += time.Duration(w.WorkNanos)
		to.reclaimableWork += time.Duration(w.ReclaimableWorkNanos)
		// These can't fail: validate has checked the counts.
		_ = to.latency[firstToken].add(w.FirstToken)
		_ = to.latency[betweenTokens].add(w.BetweenTokens)
		_ = to.latency[total].add(w.Total)
	}
	for k := range c.timelineGood {
		c.timelineGood[k] += int64(in.TimelineGood[k])
		c.timelineBad[k] += int64(in.TimelineBad[k])
	}
}

func (m *mergedMeasures) addPair(in *PairMeasures) {
	key := pairKey{in.Workspace, in.Class}
	p := m.pairs[key]
	if p == nil {
		p = &mergedPair{}
		m.pairs[key] = p
	}
	for k := range pairWindows {
		p.good[k] += int64(in.Good[k])
		p.bad[k] += int64(in.Bad[k])
	}
}

func (m *mergedMeasures) addWaste(in *WasteMeasures) {
	key := wasteKey{in.Cause, in.Class}
	w := m.waste[key]
	if w == nil {
		w = &wasteCounts{}
		m.waste[key] = w
	}
	w.requests += in.Requests
	w.tokens += in.Tokens
}
