package tdspread

// windowSize is how many of the latest sequence numbers of a source are tracked.
// Older ones count as duplicates.
const windowSize = 1024

// source is one incarnation of a node.
type source struct {
	origin      string
	incarnation uint64
}

// sequenceWindow is a sliding bitmap of the sequence numbers that were received
// from one source.
type sequenceWindow struct {
	highest uint64
	bits    [windowSize / 64]uint64
}

// add records n and reports whether it is new.
func (s *sequenceWindow) add(n uint64) bool {
	if n > s.highest {
		s.slide(n)
	} else if s.highest-n >= windowSize {
		return false
	}
	word, bit := &s.bits[n%windowSize/64], uint64(1)<<(n%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// slide moves the window up to n and clears the bits that it newly covers.
func (s *sequenceWindow) slide(n uint64) {
	if n-s.highest >= windowSize {
		s.bits = [windowSize / 64]uint64{}
	} else {
		for k := s.highest + 1; k <= n; k++ {
			s.bits[k%windowSize/64] &^= 1 << (k % 64)
		}
	}
	s.highest = n
}
