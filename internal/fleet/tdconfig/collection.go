package tdconfig

import (
	"sync"

	"tarragondeal"
)

// collection gathers pieces from several goroutines.
type collection struct {
	mu       sync.Mutex
	contents map[digest][]byte
	parts    map[digest]*tarragondeal.Set
}

func (g *collection) add(d digest, content []byte) error {
	_, part, err := decodePiece(d, content)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.contents[d], g.parts[d] = content, part
	return nil
}

func (g *collection) missing(r *root) []digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []digest
	for _, d := range r.digests() {
		if _, ok := g.parts[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}
