package tdconfig

import (
	"sync"

	"tarragondeal"
)

// pieceSet holds decoded pieces. It is safe for concurrent use.
type pieceSet struct {
	mu       sync.Mutex
	contents map[digest][]byte
	parts    map[digest]*tarragondeal.Set
}

// add decodes a piece, checks it against its digest and stores it.
func (s *pieceSet) add(d digest, content []byte) error {
	_, part, err := decodePiece(d, content)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents[d], s.parts[d] = content, part
	return nil
}

// missing returns the pieces of r that are not in s.
func (s *pieceSet) missing(r *root) []digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []digest
	for _, d := range r.digests() {
		if _, ok := s.parts[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}
