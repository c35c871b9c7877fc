package tdusage

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"tarragondeal/internal/test/tdmemstore"
)

// FuzzKeep passes arbitrary requests to Keep and checks that everything accepted
// can be flushed and read back.
func FuzzKeep(f *testing.F) {
	for _, r := range []*KeepRequest{
		{Origin: "node1.a", Seq: 1, Parts: []*Part{{Source: "node1.a.1", Window: 3600, Lines: []*Line{{Workspace: "auditors", Requests: 1}}}}},
		{Origin: "node1.a", Seq: 2, Flushed: []*Flushed{{Source: "node1.a.1", Window: 3600, Seq: 1}}},
		{Origin: "node1.a", Parts: []*Part{{Source: "node1.a.2", Window: 3600}}},
		{Parts: []*Part{{Source: "a/b", Window: -1, Lines: []*Line{{Requests: -5}}}}},
	} {
		b, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r KeepRequest
		if proto.Unmarshal(b, &r) != nil {
			return
		}
		store := tdmemstore.New()
		c := NewCopies(store, &clock{}, zerolog.Nop(), takeOver)
		if _, err := c.Keep(context.Background(), &r); err != nil {
			return
		}
		c.flushSilent(context.Background(), 0)
		if c.Len() != 0 || len(c.sources) != 0 {
			t.Fatalf("%d lines of %d sources of %v can't be flushed", c.Len(), len(c.sources), &r)
		}
		entries, err := store.List(context.Background(), "", "", 1000)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range entries {
			if _, _, err := ParseKey(e.Key); err != nil {
				t.Fatal(err)
			}
			s, err := Decode(e.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range s.Lines {
				if c.max(Counts{}) != c {
					t.Fatalf("negative counts %v", c)
				}
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	good, err := Generation{Lines: Lines{{"auditors", "narrate"}: {1, 2, 3}}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := Decode(value)
		if err != nil {
			return
		}
		again, err := s.Encode()
		if err != nil {
			t.Skip() // Names that aren't valid UTF-8 can't be encoded and don't occur.
		}
		if _, err := Decode(again); err != nil {
			t.Fatal(err)
		}
	})
}
