package tdconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"tarragondeal"
)

// Keys of the store.
const (
	rootKey       = "config/root"
	piecePrefix   = "config/piece/"
	historyPrefix = "config/history/"
)

// Bounds of what is published.
const (
	maxPieceBytes = 512 << 10
	maxPieces     = 8192
)

// digest is the SHA-256 of a piece's content.
type digest [sha256.Size]byte

// MarshalText writes d in base64, which is shorter than hexadecimal: a root
// is mostly digests.
func (d digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText reads what MarshalText writes.
func (d *digest) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return fmt.Errorf("%.80q is no digest", text)
	}
	copy(d[:], b)
	return nil
}

func (d digest) key() string { return piecePrefix + hex.EncodeToString(d[:]) }

func sum(content []byte) digest { return sha256.Sum256(content) }

// group are the pieces into which the objects of one kind are cut. A zero
// digest stands for a piece without objects.
type group struct {
	Kind   kind     `json:"kind"`
	Pieces []digest `json:"pieces"`
}

// root lists the pieces of a published set. Its mark is unique, so that a
// publisher knows its own root when it reads it back.
type root struct {
	Version     tarragondeal.Version     `json:"version"`
	Mark        string                   `json:"mark"`
	Publication tarragondeal.Publication `json:"publication"`
	Groups      []group                  `json:"groups"`
}

// digests returns the pieces that have objects.
func (r *root) digests() []digest {
	var out []digest
	for _, g := range r.Groups {
		for _, d := range g.Pieces {
			if d != (digest{}) {
				out = append(out, d)
			}
		}
	}
	return out
}

// RootError is a root that can't be taken in.
type RootError struct{ Detail string }

func (e *RootError) Error() string { return "root of a published set: " + e.Detail }

// decodeRoot reads a root from the store or a peer.
func decodeRoot(value []byte) (*root, error) {
	if len(value) > tarragondeal.MaxValueBytes {
		return nil, &RootError{Detail: "too large"}
	}
	var r root
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, &RootError{Detail: err.Error()}
	}
	if r.Version == 0 {
		return nil, &RootError{Detail: "no version"}
	}
	count := 0
	for _, g := range r.Groups {
		if _, ok := kinds[g.Kind]; !ok {
			return nil, &RootError{Detail: fmt.Sprintf("unknown kind %.40q", g.Kind)}
		}
		count += len(g.Pieces)
	}
	if count > maxPieces {
		return nil, &RootError{Detail: "too many pieces"}
	}
	return &r, nil
}

// piece is some of the objects of one kind.
type piece struct {
	// Base is the version that the piece's first publication was based on:
	// once a later version stands that lacks the piece, no version will ever
	// have it again.
	Base tarragondeal.Version `json:"base"`
	// Mark makes the content, and so the digest, that of one publication.
	Mark string          `json:"mark"`
	Set  json.RawMessage `json:"set"`
}

// PieceError is a piece that is not what its digest says, or can't be read.
type PieceError struct {
	Digest string
	Detail string
}

func (e *PieceError) Error() string { return fmt.Sprintf("piece %.12s: %s", e.Digest, e.Detail) }

func pieceError(d digest, detail string) error {
	return &PieceError{Digest: hex.EncodeToString(d[:]), Detail: detail}
}

// decodePiece checks a piece's content against its digest and reads it.
func decodePiece(d digest, content []byte) (*piece, *tarragondeal.Set, error) {
	if len(content) > maxPieceBytes {
		return nil, nil, pieceError(d, "too large")
	}
	if sum(content) != d {
		return nil, nil, pieceError(d, "content differs from the digest")
	}
	var p piece
	if err := json.Unmarshal(content, &p); err != nil {
		return nil, nil, pieceError(d, err.Error())
	}
	var set tarragondeal.Set
	if err := json.Unmarshal(p.Set, &set); err != nil {
		return nil, nil, pieceError(d, err.Error())
	}
	return &p, &set, nil
}
