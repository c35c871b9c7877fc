package tdburn

import (
	"time"

	"tarragondeal"
)

// merged is the sum of the measures of several nodes.
type merged struct {
	nodes       []tarragondeal.NodeID
	missing     []tarragondeal.NodeID
	minObserved time.Duration // Bounds of the time for which the nodes have measured.
	maxObserved time.Duration
	classes     map[string]*mergedClass
	pairs       map[pairKey]*mergedPair
	waste       map[wasteKey]*wasteCounts
	foldedPairs int64
}

type mergedClass struct {
	windows   []mergedWindow
	good, bad [timelinePoints]int64
}

type mergedWindow struct {
	good, bad, refused, failed, reclaimable int64
	work, reclaimableWork                   time.Duration
	latency                                 [latencyKinds]bins
}

type mergedPair struct{ good, bad [3]int64 } // In the order of pairWindows.

func newMerged() *merged {
	return &merged{
		classes: make(map[string]*mergedClass), pairs: make(map[pairKey]*mergedPair),
		waste: make(map[wasteKey]*wasteCounts),
	}
}

// add adds one node's measures. Malformed ones are rejected as a whole.
func (m *merged) add(n tarragondeal.NodeID, in *Measures) error {
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

// validate decodes whatever can fail, so that add is all or nothing.
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

func (m *merged) class(name string) *mergedClass {
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
		// validate has checked for errors.
		_ = to.latency[firstToken].add(w.FirstToken)
		_ = to.latency[betweenTokens].add(w.BetweenTokens)
		_ = to.latency[total].add(w.Total)
	}
	for k := range c.good {
		c.good[k] += int64(in.TimelineGood[k])
		c.bad[k] += int64(in.TimelineBad[k])
	}
}

func (m *merged) addPair(in *PairMeasures) {
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

func (m *merged) addWaste(in *WasteMeasures) {
	key := wasteKey{in.Cause, in.Class}
	w := m.waste[key]
	if w == nil {
		w = &wasteCounts{}
		m.waste[key] = w
	}
	w.requests += in.Requests
	w.tokens += in.Tokens
}
