package tdspread

// window is how many numbers behind the newest one of an origin are told
// apart; older ones count as seen.
const window = 1024

// source is one process of a node.
type source struct {
	origin      string
	incarnation uint64
}

// seen is which numbers of one source were met: a sliding window of bits.
type seen struct {
	top  uint64
	bits [window / 64]uint64
}

// add reports whether n is met for the first time.
func (s *seen) add(n uint64) bool {
	if n > s.top {
		s.slide(n)
	} else if s.top-n >= window {
		return false
	}
	word, bit := &s.bits[n%window/64], uint64(1)<<(n%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// slide moves the window up to n and clears what it newly covers.
func (s *seen) slide(n uint64) {
	if n-s.top >= window {
		s.bits = [window / 64]uint64{}
	} else {
		for k := s.top + 1; k <= n; k++ {
			s.bits[k%window/64] &^= 1 << (k % 64)
		}
	}
	s.top = n
}
