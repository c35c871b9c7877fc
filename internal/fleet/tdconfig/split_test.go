package tdconfig

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

// bigSet returns a set with the given numbers of workspaces and keys.
func bigSet(workspaces, keys int) *tarragondeal.Set {
	s := &tarragondeal.Set{
		DataCentres:    []tarragondeal.DataCentre{{Name: "duluth", Region: "lakes"}},
		ServerPools:    []tarragondeal.ServerPool{{Name: "narrator", Kind: tarragondeal.PoolModel, Model: "m", Slots: 4}},
		RequestClasses: []tarragondeal.RequestClass{{Name: "bench", Tier: 1}},
		Routes:         []tarragondeal.Route{{Name: "narrate", Class: "bench", Pools: []string{"narrator"}}},
	}
	for n := range workspaces {
		s.Workspaces = append(s.Workspaces, tarragondeal.Workspace{Name: fmt.Sprintf("workspace%05d", n), DataCentres: []string{"duluth"}})
	}
	for n := range keys {
		s.Keys = append(s.Keys, tarragondeal.Key{
			Name: fmt.Sprintf("key%05d", n), Workspace: fmt.Sprintf("workspace%05d", n%max(workspaces, 1)),
			Salt: fmt.Sprintf("c2FsdHNhbHRzYWx0%06d==", n), Digest: fmt.Sprintf("ZGlnZXN0ZGlnZXN0ZGlnZXN0ZGlnZXN0%011d=", n),
		})
	}
	return s
}

// decodePieces decodes the contents of pieces.
func decodePieces(t interface{ Fatal(...any) }, contents map[digest][]byte) map[digest]*tarragondeal.Set {
	parts := make(map[digest]*tarragondeal.Set)
	for d, content := range contents {
		_, part, err := decodePiece(d, content)
		if err != nil {
			t.Fatal(err)
		}
		parts[d] = part
	}
	return parts
}

func TestEncodeAndAssemble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := bigSet(rapid.IntRange(0, 400).Draw(t, "workspaces"), rapid.IntRange(0, 1200).Draw(t, "keys"))
		first, err := encodeSet(set, "m1", nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		first.root.Version = 1
		back, err := assemble(first.root, decodePieces(t, first.newPieces))
		if err != nil || !reflect.DeepEqual(back, set) {
			t.Fatalf("the assembled set differs: %v", err)
		}
		if len(set.Keys) == 0 {
			return
		}
		k := rapid.IntRange(0, len(set.Keys)-1).Draw(t, "withdrawn")
		set.Keys[k].Withdrawn = true
		second, err := encodeSet(set, "m2", first.root, first.newPieces)
		if err != nil {
			t.Fatal(err)
		}
		if len(second.newPieces) != 1 {
			t.Fatalf("withdrawing one key made %d new pieces", len(second.newPieces))
		}
		for d, content := range first.newPieces {
			second.newPieces[d] = content
		}
		back, err = assemble(second.root, decodePieces(t, second.newPieces))
		if err != nil || !reflect.DeepEqual(back, set) {
			t.Fatalf("the changed set differs after assembly: %v", err)
		}
	})
}

func TestPiecesStaySmall(t *testing.T) {
	set := bigSet(10, 10)
	for n := range 300 {
		r := tarragondeal.Route{Name: fmt.Sprintf("route%d", n), Class: "bench", Pools: []string{"narrator"}}
		for k := range 1000 {
			r.Workspaces = append(r.Workspaces, fmt.Sprintf("workspace%05d", k))
		}
		set.Routes = append(set.Routes, r)
	}
	c, err := encodeSet(set, "m", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, content := range c.newPieces {
		if len(content) > maxPieceBytes {
			t.Errorf("a piece has %d bytes", len(content))
		}
	}
	for k := range 60000 {
		set.Routes[0].Workspaces = append(set.Routes[0].Workspaces, fmt.Sprintf("workspace%05d", k))
	}
	if _, err := encodeSet(set, "m", nil, nil); err == nil {
		t.Error("encoded an object that is larger than a piece")
	}
}

func FuzzRoot(f *testing.F) {
	c, err := encodeSet(bigSet(3, 3), "mark", nil, nil)
	if err != nil {
		f.Fatal(err)
	}
	c.root.Version = 1
	f.Add([]byte(`{"version":1,"mark":"m","groups":[{"kind":"keys","pieces":["00"]}]}`))
	f.Add([]byte(`{"version":18446744073709551615,"groups":[{"kind":"others"}]}`))
	f.Add(mustJSON(f, c.root))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeRoot(value)
		if err != nil {
			return
		}
		again, err := decodeRoot(mustJSON(t, r))
		if err != nil || !reflect.DeepEqual(r.digests(), again.digests()) {
			t.Errorf("a root differs after encoding and decoding: %v", err)
		}
		if _, err := assemble(r, nil); err == nil && len(r.digests()) > 0 {
			t.Error("assembled a set with missing pieces")
		}
	})
}

func FuzzPiece(f *testing.F) {
	f.Add([]byte(`{"base":1,"mark":"m","set":{"keys":[{"name":"a"}]}}`))
	f.Add([]byte(`{"set":{"requestClasses":[{"name":"a","firstToken":"1s"}]}}`))
	f.Add([]byte(`{"set":null}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, _, err := decodePiece(digest{}, content); err == nil {
			t.Error("accepted a piece whose digest does not match")
		}
		_, set, err := decodePiece(digestOf(content), content)
		if err == nil && set == nil {
			t.Error("accepted a piece without a set")
		}
	})
}
