package tdmesh

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
	"tarragondeal/internal/base/tdbody"
)

const (
	// maxWholeCopy is the size in bytes of the largest copy that is sent in one state.
	// A larger one is compressed and sent in parts of maxPart bytes, one a state, so
	// that states go on arriving on a slow link.
	maxWholeCopy = 16 << 10
	maxPart      = 16 << 10
	// partInterval is the interval between two states of which the second continues a
	// copy.
	partInterval = 5 * time.Millisecond
	// maxUnpackedCopy is the size in bytes of the largest copy that is accepted in
	// parts.
	maxUnpackedCopy = 64 << 20
	// maxCopyToOldLeaf is the size in bytes of the largest copy that is sent to a leaf of
	// a version that does not read parts: it disconnects after 0.6 s without a state.
	maxCopyToOldLeaf = 512 << 10
	// maxValueAhead is the size in bytes of the largest value that is sent ahead of a
	// copy in parts, and maxItemsAhead the number of them in one state.
	maxValueAhead = 1 << 10
	maxItemsAhead = 64
	// maxPackedCopies is the number of packed copies that are kept for other peers.
	maxPackedCopies = 2
)

// packedCopy is a copy of the store in the form in which it is sent in parts.
type packedCopy struct {
	after, revision uint64
	era             uint64
	whole           bool
	data            []byte
}

// outgoingCopy is a copy that is being sent in parts.
type outgoingCopy struct {
	data  []byte
	sent  int
	after tarragondeal.Position // Changes up to it need not be sent ahead.
	ahead tarragondeal.Position // Small changes up to it have been sent ahead.
}

func newOutgoingCopy(c *Copy, packed []byte) *outgoingCopy {
	after := tarragondeal.Position{Era: tarragondeal.Era(c.GetEra()), Revision: tarragondeal.Revision(c.GetAfter())}
	if c.GetWhole() {
		after.Revision = tarragondeal.Revision(c.GetRevision())
	}
	return &outgoingCopy{data: packed, after: after, ahead: after}
}

// addCopy adds to a state what the peer lacks of the store: a copy, or the next part of
// one that is too large for a state.
func (w *stateWriter) addCopy(s *State, at tarragondeal.Position) {
	switch {
	case w.outgoing != nil:
		w.continueCopy(s)
	case w.withholdsCopies():
		s.Follows, s.Fed = false, false
	default:
		if c := w.copy(at); c != nil {
			w.beginCopy(s, c)
		}
	}
}

// beginCopy adds a copy to a state, or its first part if it is large.
func (w *stateWriter) beginCopy(s *State, c *Copy) {
	size := proto.Size(c)
	if size <= maxWholeCopy {
		s.Copy = c
		return
	}
	w.m.mu.Lock()
	name, readsParts, isLeaf := w.peer, w.peerReadsParts, w.peerIsLeaf
	w.m.mu.Unlock()
	var packed []byte
	if readsParts {
		packed = w.m.pack(c)
	}
	w.m.Log.Info().Str("peer", string(name)).Uint64("revision", c.GetRevision()).Int("changes", len(c.GetItems())).
		Int("bytes", size).Int("packedBytes", len(packed)).Msg("sending store changes")
	switch {
	case packed != nil:
		w.outgoing = newOutgoingCopy(c, packed)
		w.continueCopy(s)
	case size > maxCopyToOldLeaf && isLeaf:
		w.withheld = tarragondeal.Revision(c.GetRevision())
		s.Follows, s.Fed = false, false
	default:
		s.Copy = c
	}
}

// withholdsCopies reports whether the peer is a leaf of an earlier version that still
// lacks a copy that is too large for it. States to it say that this node has no copies,
// so that it follows the store itself.
func (w *stateWriter) withholdsCopies() bool {
	if w.withheld == 0 {
		return false
	}
	w.m.mu.Lock()
	defer w.m.mu.Unlock()
	if p := w.m.peers[w.peer]; p == nil || p.position.Revision >= w.withheld {
		w.withheld = 0
	}
	return w.withheld != 0
}

// continueCopy adds the next part of a copy to a state, unless the peer now receives
// copies from another node, or an era has begun.
func (w *stateWriter) continueCopy(s *State) {
	now := w.m.Clock.Now()
	w.m.mu.Lock()
	p := w.m.peers[w.peer]
	wants := p != nil && p.source == w.m.self.Name
	w.m.mu.Unlock()
	o := w.outgoing
	if !wants || o.after.Era != w.m.Mirror.Position().Era {
		w.outgoing, w.sent = nil, tarragondeal.Position{}
		return
	}
	s.Ahead = w.m.itemsAhead(o)
	n := min(maxPart, len(o.data)-o.sent)
	s.Part = &Part{Offset: uint64(o.sent), Size: uint64(len(o.data)), Data: o.data[o.sent : o.sent+n]}
	o.sent += n
	w.reportedAt = now
	if o.sent == len(o.data) {
		w.outgoing = nil
	}
}

// itemsAhead returns the small changes since those that were sent ahead last.
func (m *Mesh) itemsAhead(o *outgoingCopy) []*Item {
	entries, at, whole := m.Mirror.Since(o.ahead)
	if whole {
		return nil // Too many; they are sent in the next copy.
	}
	slices.SortFunc(entries, func(a, b tarragondeal.Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	var out []*Item
	for _, e := range entries {
		if len(e.Value) > maxValueAhead {
			continue
		}
		if len(out) == maxItemsAhead {
			return out
		}
		out = append(out, newItem(e))
		o.ahead.Revision = e.Revision
	}
	o.ahead = at
	return out
}

// pack returns the compressed form of a copy, and keeps it for other peers. It returns
// nil if the copy can't be compressed.
func (m *Mesh) pack(c *Copy) []byte {
	m.packMu.Lock()
	defer m.packMu.Unlock()
	for _, p := range m.packed {
		if p.after == c.GetAfter() && p.revision == c.GetRevision() && p.era == c.GetEra() && p.whole == c.GetWhole() {
			return p.data
		}
	}
	data, err := compress(c)
	if err != nil {
		m.Log.Warn().Err(err).Uint64("revision", c.GetRevision()).Msg("failed to compress a copy, sending it whole")
		return nil
	}
	m.packed = append(m.packed, packedCopy{after: c.GetAfter(), revision: c.GetRevision(), era: c.GetEra(), whole: c.GetWhole(), data: data})
	if len(m.packed) > maxPackedCopies {
		m.packed = slices.Delete(m.packed, 0, 1)
	}
	return data
}

func compress(c *Copy) ([]byte, error) {
	raw, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	z, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := z.Write(raw); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// collect adds a part to the copy that is being received on the stream. It returns the
// copy once it is complete, and nil before. A copy that was begun is dropped when
// another one begins.
func (w *stateWriter) collect(p *Part) (*Copy, error) {
	if p.GetOffset() == 0 {
		w.incoming, w.incomingSince = nil, w.m.Clock.Now()
	}
	if held := uint64(len(w.incoming)); held != p.GetOffset() {
		w.incoming = nil
		return nil, &partError{held: held, offset: p.GetOffset()}
	}
	w.incoming = append(w.incoming, p.GetData()...)
	if uint64(len(w.incoming)) < p.GetSize() {
		return nil, nil
	}
	packed := w.incoming
	w.incoming = nil
	return unpack(packed)
}

// partError is the error for a part that does not continue the ones before it.
type partError struct {
	held, offset uint64 // In bytes.
}

// Error implements error.
func (e *partError) Error() string {
	return fmt.Sprintf("part of a copy begins at byte %d, after %d bytes", e.offset, e.held)
}

func unpack(packed []byte) (*Copy, error) {
	raw, err := tdbody.Read(flate.NewReader(bytes.NewReader(packed)), maxUnpackedCopy)
	if err != nil {
		return nil, err
	}
	c := new(Copy)
	if err := proto.Unmarshal(raw, c); err != nil {
		return nil, err
	}
	return c, nil
}
