package tdusage

import (
	"fmt"

	"tarragondeal"
)

// maxSegmentLines bounds the lines of one source, so that its record stays
// below the store's limit on the size of a value.
const maxSegmentLines = 8000

// segment is a source in the process that counts it.
type segment struct {
	id    SourceID
	lines Lines
	// uncopied holds the lines whose latest counts have not been sent to the
	// peer.
	uncopied map[LineKey]bool
	unstored bool // Some counts are not in the store yet.
	pos      Position
}

// buffer holds the counts of a process by window, until the window has ended
// and the store has all of them. It is not safe for concurrent use.
type buffer struct {
	process      string
	windows      map[int64][]*segment
	index        map[int64]map[LineKey]*segment
	segmentCount int
}

func newBuffer(process string) *buffer {
	return &buffer{process: process, windows: make(map[int64][]*segment), index: make(map[int64]map[LineKey]*segment)}
}

// add adds c to a line of a window.
func (b *buffer) add(window int64, k LineKey, c Counts) {
	s := b.segment(window, k)
	s.lines[k] = s.lines[k].Add(c)
	s.uncopied[k] = true
	s.unstored = true
}

// segment returns the source that holds a line. If the clock steps back into a
// window that was dropped, the window gets a new source.
func (b *buffer) segment(window int64, k LineKey) *segment {
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
		b.segmentCount++
		all = append(all, &segment{
			id:       SourceID{Window: window, Source: fmt.Sprintf("%s.%d", b.process, b.segmentCount)},
			lines:    make(Lines),
			uncopied: make(map[LineKey]bool),
		})
		b.windows[window] = all
	}
	s := all[len(all)-1]
	index[k] = s
	return s
}

// takeUncopied returns the uncopied lines and marks them as copied.
func (b *buffer) takeUncopied() []*Part {
	var out []*Part
	for _, all := range b.windows {
		for _, s := range all {
			if len(s.uncopied) == 0 {
				continue
			}
			p := &Part{Source: s.id.Source, Window: s.id.Window}
			for k := range s.uncopied {
				p.Lines = append(p.Lines, lineMessage(k, s.lines[k]))
			}
			clear(s.uncopied)
			out = append(out, p)
		}
	}
	return out
}

// markUncopied marks all lines that are not in the store as uncopied, for a
// new peer or one whose state is unknown.
func (b *buffer) markUncopied() {
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

// pending reports whether any counts are not in the store yet.
func (b *buffer) pending() bool {
	for _, all := range b.windows {
		for _, s := range all {
			if s.unstored {
				return true
			}
		}
	}
	return false
}

// snapshot holds the lines of a source at the start of a flush.
type snapshot struct {
	segment *segment
	lines   Lines
	pos     Position
}

// unstoredSnapshots returns snapshots of the sources with counts that are not
// in the store yet.
func (b *buffer) unstoredSnapshots() []snapshot {
	var out []snapshot
	for _, all := range b.windows {
		for _, s := range all {
			if s.unstored {
				out = append(out, snapshot{segment: s, lines: s.lines.clone(), pos: s.pos})
			}
		}
	}
	return out
}

// markStored records that the store covers a snapshot.
func (b *buffer) markStored(s snapshot) {
	s.segment.pos = s.pos
	if s.lines.covers(s.segment.lines) {
		s.segment.unstored = false
	}
}

// dropBefore drops the windows before the given one that are completely in the
// store.
func (b *buffer) dropBefore(before int64) {
	for window, all := range b.windows {
		if window >= before {
			continue
		}
		complete := true
		for _, s := range all {
			complete = complete && !s.unstored
		}
		if complete {
			delete(b.windows, window)
			delete(b.index, window)
		}
	}
}

// remove removes a source, stored or not.
func (b *buffer) remove(s *segment) {
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

// rankPeers returns the live members that may keep copies for self in order of
// preference: first those in other data centres, then those in its own, each
// group by rendezvous hashing. The order differs from node to node, and changes
// little when members join or leave.
func rankPeers(self tarragondeal.Member, members []tarragondeal.Member) []tarragondeal.NodeID {
	var far, near []scoredPeer
	for _, m := range members {
		if m.Node == self.Node || m.State != tarragondeal.MemberAlive {
			continue
		}
		if m.DataCentre == self.DataCentre {
			near = append(near, scorePeer(self.Node, m.Node))
		} else {
			far = append(far, scorePeer(self.Node, m.Node))
		}
	}
	return append(nodesByScore(far), nodesByScore(near)...)
}
