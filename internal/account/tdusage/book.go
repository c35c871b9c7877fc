package tdusage

import (
	"fmt"

	"tarragondeal"
)

// maxSegmentLines bounds the lines of one source, so that its record stays
// under the largest value of the store.
const maxSegmentLines = 8000

// segment is one source at the process that counts it.
type segment struct {
	id    SourceID
	lines Lines
	// uncopied are the lines that the peer has not acknowledged as they are.
	uncopied map[LineKey]bool
	unstored bool // The store lacks some of it.
	at       Place
}

// book is what one process counted and has not handed over yet. It is not
// safe for concurrent use.
type book struct {
	process  string
	windows  map[int64][]*segment
	index    map[int64]map[LineKey]*segment
	segments int
}

func newBook(process string) *book {
	return &book{process: process, windows: make(map[int64][]*segment), index: make(map[int64]map[LineKey]*segment)}
}

// add counts in a window.
func (b *book) add(window int64, k LineKey, f Figures) {
	s := b.segment(window, k)
	s.lines[k] = s.lines[k].Add(f)
	s.uncopied[k] = true
	s.unstored = true
}

// segment returns the source that holds a line. A window that was dropped
// and comes again, after a step of the clock, gets a new source.
func (b *book) segment(window int64, k LineKey) *segment {
	index := b.index[window]
	if index == nil {
		index = make(map[LineKey]*segment)
		b.index[window] = index
	}
	if s := index[k]; s != nil {
		return s
	}
	all := b.windows[window]
	if len(all) == 0 || len(all[len(all)-1].lines) >= maxSegmentLines {
		b.segments++
		all = append(all, &segment{
			id:       SourceID{Window: window, Source: fmt.Sprintf("%s.%d", b.process, b.segments)},
			lines:    make(Lines),
			uncopied: make(map[LineKey]bool),
		})
		b.windows[window] = all
	}
	s := all[len(all)-1]
	index[k] = s
	return s
}

// takeUncopied returns what the peer lacks and counts it as copied.
func (b *book) takeUncopied() []*Part {
	var out []*Part
	for _, all := range b.windows {
		for _, s := range all {
			if len(s.uncopied) == 0 {
				continue
			}
			p := &Part{Source: s.id.Source, Window: s.id.Window}
			for k := range s.uncopied {
				p.Lines = append(p.Lines, message(k, s.lines[k]))
			}
			clear(s.uncopied)
			out = append(out, p)
		}
	}
	return out
}

// uncopy notes that no peer has any of it, as when the peer was lost.
func (b *book) uncopy() {
	for _, all := range b.windows {
		for _, s := range all {
			if !s.unstored {
				continue
			}
			for k := range s.lines {
				s.uncopied[k] = true
			}
		}
	}
}

// pending reports whether anything has not reached the store.
func (b *book) pending() bool {
	for _, all := range b.windows {
		for _, s := range all {
			if s.unstored {
				return true
			}
		}
	}
	return false
}

// snapshot is a source as it stood when its flush began.
type snapshot struct {
	segment *segment
	lines   Lines
	at      Place
}

// unstored returns snapshots of what the store lacks.
func (b *book) unstored() []snapshot {
	var out []snapshot
	for _, all := range b.windows {
		for _, s := range all {
			if s.unstored {
				out = append(out, snapshot{segment: s, lines: s.lines.clone(), at: s.at})
			}
		}
	}
	return out
}

// stored notes that the store covers a snapshot.
func (b *book) stored(s snapshot) {
	s.segment.at = s.at
	if s.lines.covers(s.segment.lines) {
		s.segment.unstored = false
	}
}

// drop forgets the windows before one that are wholly in the store.
func (b *book) drop(before int64) {
	for window, all := range b.windows {
		if window >= before {
			continue
		}
		whole := true
		for _, s := range all {
			whole = whole && !s.unstored
		}
		if whole {
			delete(b.windows, window)
			delete(b.index, window)
		}
	}
}

// remove forgets one source for good.
func (b *book) remove(s *segment) {
	all := b.windows[s.id.Window]
	var left []*segment
	for _, other := range all {
		if other != s {
			left = append(left, other)
		}
	}
	for k, at := range b.index[s.id.Window] {
		if at == s {
			delete(b.index[s.id.Window], k)
		}
	}
	b.windows[s.id.Window] = left
}

// peers returns the members that may keep a copy for self, best first:
// those in other data centres, then the others, in an order that differs from
// node to node and changes little when members come and go.
func peers(self tarragondeal.Member, members []tarragondeal.Member) []tarragondeal.NodeID {
	var far, near []scored
	for _, m := range members {
		if m.Node == self.Node || m.State != tarragondeal.MemberAlive {
			continue
		}
		if m.DataCentre == self.DataCentre {
			near = append(near, score(self.Node, m.Node))
		} else {
			far = append(far, score(self.Node, m.Node))
		}
	}
	return append(ranked(far), ranked(near)...)
}
