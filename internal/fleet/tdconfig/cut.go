package tdconfig

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// objectsPerPiece is about how many objects a piece has. A change of one
// object moves one piece and the root; this size keeps their sum small for
// tens of thousands of objects.
const objectsPerPiece = 128

// kind is a kind of object, as a set's fields are named.
type kind string

// cutter cuts the objects of one kind into n parts and joins parts again.
type cutter struct {
	count func(s *tarragondeal.Set) int
	cut   func(s *tarragondeal.Set, n int) []*tarragondeal.Set
	join  func(to, from *tarragondeal.Set)
	order func(s *tarragondeal.Set)
}

// kindOrder is the order in which the kinds stand in a root.
var kindOrder = []kind{"dataCentres", "serverPools", "requestClasses", "workspaces", "routes", "keys"}

var kinds = map[kind]cutter{
	"dataCentres": cutterOf(func(s *tarragondeal.Set) *[]tarragondeal.DataCentre { return &s.DataCentres },
		func(o *tarragondeal.DataCentre) string { return o.Name }),
	"serverPools": cutterOf(func(s *tarragondeal.Set) *[]tarragondeal.ServerPool { return &s.ServerPools },
		func(o *tarragondeal.ServerPool) string { return o.Name }),
	"requestClasses": cutterOf(func(s *tarragondeal.Set) *[]tarragondeal.RequestClass { return &s.RequestClasses },
		func(o *tarragondeal.RequestClass) string { return o.Name }),
	"workspaces": cutterOf(func(s *tarragondeal.Set) *[]tarragondeal.Workspace { return &s.Workspaces },
		func(o *tarragondeal.Workspace) string { return o.Name }),
	"routes": cutterOf(func(s *tarragondeal.Set) *[]tarragondeal.Route { return &s.Routes },
		func(o *tarragondeal.Route) string { return o.Name }),
	"keys": cutterOf(func(s *tarragondeal.Set) *[]tarragondeal.Key { return &s.Keys },
		func(o *tarragondeal.Key) string { return o.Name }),
}

func cutterOf[T any](field func(*tarragondeal.Set) *[]T, name func(*T) string) cutter {
	byName := func(a, b T) int { return cmp.Compare(name(&a), name(&b)) }
	return cutter{
		count: func(s *tarragondeal.Set) int { return len(*field(s)) },
		cut: func(s *tarragondeal.Set, n int) []*tarragondeal.Set {
			out := make([]*tarragondeal.Set, n)
			for k := range out {
				out[k] = &tarragondeal.Set{}
			}
			for _, o := range *field(s) {
				part := field(out[xxhash.Sum64String(name(&o))%uint64(n)])
				*part = append(*part, o)
			}
			for _, part := range out {
				slices.SortStableFunc(*field(part), byName)
			}
			return out
		},
		join:  func(to, from *tarragondeal.Set) { *field(to) = append(*field(to), *field(from)...) },
		order: func(s *tarragondeal.Set) { *field(s) = ordered(*field(s), name) },
	}
}

// ordered returns objects in the order of their names. It sorts pointers,
// since objects are large.
func ordered[T any](objects []T, name func(*T) string) []T {
	if objects == nil {
		return nil
	}
	at := make([]*T, len(objects))
	for n := range objects {
		at[n] = &objects[n]
	}
	slices.SortFunc(at, func(a, b *T) int { return strings.Compare(name(a), name(b)) })
	out := make([]T, len(objects))
	for n, o := range at {
		out[n] = *o
	}
	return out
}

// TooLargeError is an object that does not fit into a piece.
type TooLargeError struct{ Kind string }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("one of the %s is larger than %d bytes", e.Kind, maxPieceBytes)
}

// cutting is a set that was cut: its root and the contents that are new.
type cutting struct {
	root *root
	new  map[digest][]byte
}

// cut makes the root and the pieces of a set. Pieces that base has with the
// same objects are taken over.
func cut(set *tarragondeal.Set, mark string, base *root, contents map[digest][]byte) (*cutting, error) {
	c := &cutting{root: &root{Mark: mark}, new: make(map[digest][]byte)}
	var from tarragondeal.Version
	if base != nil {
		from = base.Version
	}
	for _, k := range kindOrder {
		parts, err := k.parts(set)
		if err != nil {
			return nil, err
		}
		g := group{Kind: k, Pieces: make([]digest, len(parts))}
		old := oldParts(base, k, len(parts))
		for n, part := range parts {
			switch {
			case part == nil:
			case old != nil && holds(contents[old[n]], part):
				g.Pieces[n] = old[n]
			default:
				content, err := json.Marshal(piece{Base: from, Mark: mark, Set: part})
				if err != nil {
					return nil, err
				}
				g.Pieces[n] = sum(content)
				c.new[g.Pieces[n]] = content
			}
		}
		c.root.Groups = append(c.root.Groups, g)
	}
	return c, nil
}

// parts cuts the objects of a kind and encodes each part; nil stands for no
// objects. The number of parts depends on the objects alone.
func (k kind) parts(set *tarragondeal.Set) ([]json.RawMessage, error) {
	c := kinds[k]
	count := c.count(set)
	n := 1
	for n*objectsPerPiece < count {
		n *= 2
	}
	for ; ; n *= 2 {
		out, largest, err := encodeParts(c, c.cut(set, n))
		if err != nil {
			return nil, err
		}
		if largest <= maxPieceBytes/2 {
			return out, nil
		}
		if n > count {
			return nil, &TooLargeError{Kind: string(k)}
		}
	}
}

func encodeParts(c cutter, parts []*tarragondeal.Set) (out []json.RawMessage, largest int, err error) {
	out = make([]json.RawMessage, len(parts))
	for n, part := range parts {
		if c.count(part) == 0 {
			continue
		}
		if out[n], err = json.Marshal(part); err != nil {
			return nil, 0, err
		}
		largest = max(largest, len(out[n]))
	}
	return out, largest, nil
}

// oldParts returns the pieces of a kind in base, or nil unless it was cut
// into n as well.
func oldParts(base *root, k kind, n int) []digest {
	if base == nil {
		return nil
	}
	at := slices.IndexFunc(base.Groups, func(g group) bool { return g.Kind == k })
	if at < 0 || len(base.Groups[at].Pieces) != n {
		return nil
	}
	return base.Groups[at].Pieces
}

// holds reports whether a piece's content has just the objects of part, which
// stand at its end.
func holds(content []byte, part json.RawMessage) bool {
	rest, ok := bytes.CutSuffix(content, []byte("}"))
	if !ok {
		return false
	}
	rest, ok = bytes.CutSuffix(rest, part)
	return ok && bytes.HasSuffix(rest, []byte(`"set":`))
}

// assemble joins the pieces of a root to a set, in the order of names.
func assemble(r *root, parts map[digest]*tarragondeal.Set) (*tarragondeal.Set, error) {
	set := &tarragondeal.Set{}
	for _, g := range r.Groups {
		c := kinds[g.Kind]
		for _, d := range g.Pieces {
			if d == (digest{}) {
				continue
			}
			part, ok := parts[d]
			if !ok {
				return nil, pieceError(d, "missing")
			}
			c.join(set, part)
		}
		c.order(set)
	}
	return set, nil
}
