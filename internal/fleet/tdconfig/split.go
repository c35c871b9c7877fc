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

// objectsPerPiece is the approximate number of objects in a piece. A change of
// one object rewrites one piece and the root; this size keeps their total
// small for tens of thousands of objects.
const objectsPerPiece = 128

// kind is a kind of object, named like the JSON field of a set.
type kind string

// splitter splits the objects of one kind into n parts and joins them again.
type splitter struct {
	count func(s *tarragondeal.Set) int
	split func(s *tarragondeal.Set, n int) []*tarragondeal.Set
	join  func(to, from *tarragondeal.Set)
	sort  func(s *tarragondeal.Set)
}

// kindOrder is the order of the kinds in a root.
var kindOrder = []kind{"dataCentres", "serverPools", "requestClasses", "workspaces", "routes", "keys"}

var splitters = map[kind]splitter{
	"dataCentres": newSplitter(func(s *tarragondeal.Set) *[]tarragondeal.DataCentre { return &s.DataCentres },
		func(o *tarragondeal.DataCentre) string { return o.Name }),
	"serverPools": newSplitter(func(s *tarragondeal.Set) *[]tarragondeal.ServerPool { return &s.ServerPools },
		func(o *tarragondeal.ServerPool) string { return o.Name }),
	"requestClasses": newSplitter(func(s *tarragondeal.Set) *[]tarragondeal.RequestClass { return &s.RequestClasses },
		func(o *tarragondeal.RequestClass) string { return o.Name }),
	"workspaces": newSplitter(func(s *tarragondeal.Set) *[]tarragondeal.Workspace { return &s.Workspaces },
		func(o *tarragondeal.Workspace) string { return o.Name }),
	"routes": newSplitter(func(s *tarragondeal.Set) *[]tarragondeal.Route { return &s.Routes },
		func(o *tarragondeal.Route) string { return o.Name }),
	"keys": newSplitter(func(s *tarragondeal.Set) *[]tarragondeal.Key { return &s.Keys },
		func(o *tarragondeal.Key) string { return o.Name }),
}

func newSplitter[T any](field func(*tarragondeal.Set) *[]T, name func(*T) string) splitter {
	byName := func(a, b T) int { return cmp.Compare(name(&a), name(&b)) }
	return splitter{
		count: func(s *tarragondeal.Set) int { return len(*field(s)) },
		split: func(s *tarragondeal.Set, n int) []*tarragondeal.Set {
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
		join: func(to, from *tarragondeal.Set) { *field(to) = append(*field(to), *field(from)...) },
		sort: func(s *tarragondeal.Set) { *field(s) = sortedByName(*field(s), name) },
	}
}

// sortedByName returns the objects sorted by name. It sorts pointers, since
// objects are large.
func sortedByName[T any](objects []T, name func(*T) string) []T {
	if objects == nil {
		return nil
	}
	ptrs := make([]*T, len(objects))
	for n := range objects {
		ptrs[n] = &objects[n]
	}
	slices.SortFunc(ptrs, func(a, b *T) int { return strings.Compare(name(a), name(b)) })
	out := make([]T, len(objects))
	for n, o := range ptrs {
		out[n] = *o
	}
	return out
}

// TooLargeError reports an object that does not fit into a piece.
type TooLargeError struct{ Kind string }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("one of the %s is larger than %d bytes", e.Kind, maxPieceBytes)
}

// encodedSet is the root of a set and the pieces that its base lacks.
type encodedSet struct {
	root      *root
	newPieces map[digest][]byte
}

// encodeSet makes the root and the pieces of a set. It reuses the pieces of
// base that hold the same objects.
func encodeSet(set *tarragondeal.Set, id string, base *root, contents map[digest][]byte) (*encodedSet, error) {
	out := &encodedSet{root: &root{ID: id}, newPieces: make(map[digest][]byte)}
	var from tarragondeal.Version
	if base != nil {
		from = base.Version
	}
	for _, k := range kindOrder {
		parts, err := k.encode(set)
		if err != nil {
			return nil, err
		}
		g := group{Kind: k, Pieces: make([]digest, len(parts))}
		old := basePieces(base, k, len(parts))
		for n, part := range parts {
			switch {
			case part == nil:
			case old != nil && hasObjects(contents[old[n]], part):
				g.Pieces[n] = old[n]
			default:
				content, err := json.Marshal(piece{Base: from, RootID: id, Set: part})
				if err != nil {
					return nil, err
				}
				g.Pieces[n] = digestOf(content)
				out.newPieces[g.Pieces[n]] = content
			}
		}
		out.root.Groups = append(out.root.Groups, g)
	}
	return out, nil
}

// encode splits the objects of a kind and encodes each part; a part without
// objects is nil. The number of parts depends only on the objects, so that
// unchanged parts can be reused.
func (k kind) encode(set *tarragondeal.Set) ([]json.RawMessage, error) {
	c := splitters[k]
	count := c.count(set)
	n := 1
	for n*objectsPerPiece < count {
		n *= 2
	}
	for ; ; n *= 2 {
		out, largest, err := encodeParts(c, c.split(set, n))
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

func encodeParts(c splitter, parts []*tarragondeal.Set) (out []json.RawMessage, largest int, err error) {
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

// basePieces returns the pieces of a kind in base, or nil if base does not have
// exactly n of them.
func basePieces(base *root, k kind, n int) []digest {
	if base == nil {
		return nil
	}
	at := slices.IndexFunc(base.Groups, func(g group) bool { return g.Kind == k })
	if at < 0 || len(base.Groups[at].Pieces) != n {
		return nil
	}
	return base.Groups[at].Pieces
}

// hasObjects reports whether a piece's content holds exactly the objects of
// part, which is the last field of the content.
func hasObjects(content []byte, part json.RawMessage) bool {
	rest, ok := bytes.CutSuffix(content, []byte("}"))
	if !ok {
		return false
	}
	rest, ok = bytes.CutSuffix(rest, part)
	return ok && bytes.HasSuffix(rest, []byte(`"set":`))
}

// assemble joins the pieces of a root to a set, sorted by name.
func assemble(r *root, parts map[digest]*tarragondeal.Set) (*tarragondeal.Set, error) {
	set := &tarragondeal.Set{}
	for _, g := range r.Groups {
		c := splitters[g.Kind]
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
		c.sort(set)
	}
	return set, nil
}
