package tdconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"tarragondeal"
)

// Keys and key prefixes in the store.
const (
	rootKey       = "config/root"
	piecePrefix   = "config/piece/"
	historyPrefix = "config/history/"
)

// Limits of a published set.
const (
	maxPieceBytes = 512 << 10
	maxPieces     = 8192
)

// digest is the SHA-256 of a piece's content.
type digest [sha256.Size]byte

// MarshalText encodes d in base64, which is shorter than hexadecimal: a root
// consists mostly of digests.
func (d digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes the output of MarshalText.
func (d *digest) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return fmt.Errorf("%.80q is no digest", text)
	}
	copy(d[:], b)
	return nil
}

func (d digest) key() string { return piecePrefix + hex.EncodeToString(d[:]) }

func digestOf(content []byte) digest { return sha256.Sum256(content) }

// group lists the pieces of one kind of object. A zero digest stands for a
// piece without objects.
type group struct {
	Kind   kind     `json:"kind"`
	Pieces []digest `json:"pieces"`
}

// root lists the pieces of a published set. Its ID is unique, so that a
// publisher recognises its own root when it reads it back.
type root struct {
	Version     tarragondeal.Version     `json:"version"`
	ID          string                   `json:"mark"`
	Publication tarragondeal.Publication `json:"publication"`
	Groups      []group                  `json:"groups"`
}

// digests returns the digests of the pieces that have objects.
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

// RootError reports an invalid root.
type RootError struct{ Detail string }

func (e *RootError) Error() string { return "root of a published set: " + e.Detail }

// decodeRoot decodes and validates a root from the store or a peer.
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
		if _, ok := splitters[g.Kind]; !ok {
			return nil, &RootError{Detail: fmt.Sprintf("unknown kind %.40q", g.Kind)}
		}
		count += len(g.Pieces)
	}
	if count > maxPieces {
		return nil, &RootError{Detail: "too many pieces"}
	}
	return &r, nil
}

// piece holds some of the objects of one kind.
type piece struct {
	// Base is the version that the first root with this piece was made from.
	// Once a version after Base lacks the piece, no later one has it.
	Base tarragondeal.Version `json:"base"`
	// RootID is the ID of the first root with this piece. It makes the content,
	// and so the digest, unique to one publication.
	RootID string          `json:"mark"`
	Set    json.RawMessage `json:"set"`
}

// PieceError reports a piece that does not match its digest, can't be decoded
// or is not available.
type PieceError struct {
	Digest string
	Detail string
}

func (e *PieceError) Error() string { return fmt.Sprintf("piece %.12s: %s", e.Digest, e.Detail) }

func pieceError(d digest, detail string) error {
	return &PieceError{Digest: hex.EncodeToString(d[:]), Detail: detail}
}

// decodePiece checks a piece's content against its digest and decodes it.
func decodePiece(d digest, content []byte) (*piece, *tarragondeal.Set, error) {
	if len(content) > maxPieceBytes {
		return nil, nil, pieceError(d, "too large")
	}
	if digestOf(content) != d {
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
