package tdgate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

const (
	maxUpdateAttempts = 8
	closeTimeout      = 2 * time.Second
)

// Receiver is a destination of writes.
type Receiver struct {
	Name          string
	ChecksFencing bool
}

// HeldBackError is the error for a write that was not sent, because an earlier
// holder may still be sending to a receiver that ignores fencing tokens.
type HeldBackError struct {
	Receiver string
	Holder   tarragondeal.NodeID // The earlier holder's node.
}

func (e *HeldBackError) Error() string {
	return fmt.Sprintf("%s: write held back: node %s may still be sending", e.Receiver, e.Holder)
}

// holder is a process that may have sent writes with a fencing token.
type holder struct {
	Node      tarragondeal.NodeID `json:"node"`
	ProcessID string              `json:"process"` // Random.
	Fence     uint64              `json:"fence"`
}

// record lists the holders that are not cleared, including the current one.
type record struct {
	Holders []holder `json:"holders"`
}

// earlierHolder is what the current holder knows about an earlier one.
type earlierHolder struct {
	holder
	knownSince    tarragondeal.Instant // Start of this term.
	endedSince    tarragondeal.Instant // First time its process was found to have ended, or zero.
	unlistedSince tarragondeal.Instant // First time its VM was missing from the list, or zero.
	// stopped is set once the process counts as unable to begin a write.
	stopped bool
	// settledAt is the time from which no unanswered write of the process can
	// take effect, by receiver.
	settledAt map[string]tarragondeal.Instant
}

// Term is the state of one acquisition of a lease.
type Term struct {
	gates   *Gates
	gate    *gate
	key     string
	held    tarragondeal.Held
	self    holder
	earlier []*earlierHolder
}

// Enter begins a term. It records this process as a holder before anything is
// sent, and reads the earlier holders that are not cleared yet. It returns a
// *FenceError if a later holder is on record.
func (g *Gates) Enter(ctx context.Context, name string, h tarragondeal.Held) (*Term, error) {
	t := &Term{
		gates: g, gate: g.gate(name), key: "duty/" + name + "/holders", held: h,
		self: holder{Node: g.Members.Self().Node, ProcessID: g.processID, Fence: h.Fence()},
	}
	if t.gate == nil {
		return nil, eris.New("too many gates")
	}
	// This process's earlier terms are not waited for. The gate is closed to them,
	// and keeps the times of their unanswered writes for the next holder. Only the
	// writes of different processes must not interleave.
	t.gate.close(h.Fence())
	now := g.Clock.Now()
	err := t.updateRecord(ctx, func(r record) (record, bool) {
		t.earlier = nil
		next := record{Holders: []holder{t.self}}
		for _, o := range r.Holders {
			if o.ProcessID != t.self.ProcessID {
				next.Holders = append(next.Holders, o)
				t.earlier = append(t.earlier, &earlierHolder{holder: o, knownSince: now})
			}
		}
		return next, true
	})
	return t, err
}

// updateRecord changes the record by compare-and-swap. It returns a *FenceError
// if the record has a later fencing token than this term.
func (t *Term) updateRecord(ctx context.Context, edit func(record) (record, bool)) error {
	store := t.gates.Store
	var err error
	for range maxUpdateAttempts {
		var e tarragondeal.Entry
		if e, err = store.Get(ctx, t.key); err != nil {
			continue
		}
		var r record
		if e.Revision != 0 {
			if err = json.Unmarshal(e.Value, &r); err != nil {
				return eris.Wrapf(err, "decode %s", t.key)
			}
		}
		for _, o := range r.Holders {
			if o.Fence > t.self.Fence {
				return &tarragondeal.FenceError{Fence: t.self.Fence, Current: o.Fence}
			}
		}
		next, changed := edit(r)
		if !changed {
			return nil
		}
		value, jsonErr := json.Marshal(next)
		if jsonErr != nil {
			return jsonErr
		}
		// A write that failed may have been applied. The next attempt reads the
		// record again and edits what it has read.
		if _, err = store.Swap(ctx, t.key, value, e.Revision); err == nil {
			return nil
		}
	}
	return eris.Wrapf(err, "update %s", t.key)
}

// Send sends one write by calling do with a context that ends after timeout. It
// sends only if the lease is certainly held until then and no write of an earlier
// holder can take effect after this one. It returns a *HeldBackError, a
// *ClosedError, the error of the lease check or that of do.
func (t *Term) Send(ctx context.Context, r Receiver, timeout time.Duration, do func(context.Context) error) error {
	if !r.ChecksFencing {
		if o := t.blocking(r.Name); o != nil {
			return &HeldBackError{Receiver: r.Name, Holder: o.Node}
		}
	}
	return t.gate.send(ctx, t.held, r.Name, timeout, do)
}

// blocking returns an earlier holder that is not cleared for a receiver, or nil.
func (t *Term) blocking(receiver string) *earlierHolder {
	now := t.gates.Clock.Now()
	for _, o := range t.earlier {
		if !o.stopped || now < o.settledAt[receiver] {
			return o
		}
	}
	return nil
}

// Cleared reports whether Clear has left no earlier holder.
func (t *Term) Cleared() bool { return len(t.earlier) == 0 }

// Clear checks each earlier holder once and removes from the record those that
// are cleared: they have stopped, and none of their unanswered writes can still
// take effect at any receiver.
func (t *Term) Clear(ctx context.Context) error {
	if t.Cleared() {
		return nil
	}
	unlisted := t.unlisted(ctx)
	for _, o := range t.earlier {
		t.checkHolder(ctx, o, unlisted)
	}
	now := t.gates.Clock.Now()
	isCleared := func(o *earlierHolder) bool {
		if !o.stopped {
			return false
		}
		for _, at := range o.settledAt {
			if now < at {
				return false
			}
		}
		return true
	}
	var cleared []string
	for _, o := range t.earlier {
		if isCleared(o) {
			cleared = append(cleared, o.ProcessID)
		}
	}
	if len(cleared) == 0 {
		return nil
	}
	err := t.updateRecord(ctx, func(r record) (record, bool) {
		n := len(r.Holders)
		r.Holders = slices.DeleteFunc(r.Holders, func(o holder) bool { return slices.Contains(cleared, o.ProcessID) })
		return r, len(r.Holders) != n
	})
	if err == nil {
		t.earlier = slices.DeleteFunc(t.earlier, isCleared)
	}
	return err
}

// checkHolder marks an earlier holder as stopped if it has closed its gate, if
// its process ended or its VM left the list so long ago that no write of it can
// still take effect, or if the hold-off has passed.
func (t *Term) checkHolder(ctx context.Context, o *earlierHolder, unlisted map[tarragondeal.NodeID]bool) {
	now, cfg := t.gates.Clock.Now(), t.gates.cfg
	t.closeEarlierGate(ctx, o)
	switch {
	case o.stopped:
	case o.endedSince != 0 && now.Sub(o.endedSince) >= cfg.Settle:
		o.stopped = true
	case !unlisted[o.Node]:
		o.unlistedSince = 0
	case o.unlistedSince == 0:
		o.unlistedSince = now
	case now.Sub(o.unlistedSince) >= cfg.ListLag+cfg.Settle:
		o.stopped = true
	}
	if cfg.HoldOff > 0 && now.Sub(o.knownSince) >= cfg.HoldOff {
		o.stopped = true
	}
}

// closeEarlierGate asks the node of an earlier holder to close its gate, and notes
// what the answer shows about the holder.
func (t *Term) closeEarlierGate(ctx context.Context, o *earlierHolder) {
	a, err := t.callClose(ctx, o.Node)
	now := t.gates.Clock.Now()
	switch {
	case err != nil:
		t.gates.Log.Debug().Err(err).Str("holder", string(o.Node)).Msg("gate of earlier holder not closed")
	case a.GetProcess() != o.ProcessID:
		// Another process answers at the node, so the earlier one has ended.
		if o.endedSince == 0 {
			o.endedSince = now
		}
	default:
		o.stopped = true
		o.settledAt = make(map[string]tarragondeal.Instant)
		for _, u := range a.GetUnsettled() {
			o.settledAt[u.GetReceiver()] = now.Add(t.gates.cfg.Settle - time.Duration(u.GetAgeNanos()))
		}
	}
}

// callClose closes the gate of the process at a node to tokens below that of this
// term.
func (t *Term) callClose(ctx context.Context, n tarragondeal.NodeID) (*CloseAnswer, error) {
	r := &CloseRequest{Name: t.gate.name, Below: t.self.Fence}
	if n == t.gates.Members.Self().Node {
		// The earlier holder was another process at this node. The answer has the
		// ID of this process, which shows that the earlier one has ended.
		return t.gates.Close(ctx, r)
	}
	conn, err := t.gates.Links.Conn(n)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	return NewGatesClient(conn).Close(ctx, r)
}

// unlisted returns for each earlier holder's node whether it is missing from the
// platform's list of VMs. An empty list is not trusted.
func (t *Term) unlisted(ctx context.Context) map[tarragondeal.NodeID]bool {
	vms, err := t.gates.VMs.EntryVMs(ctx)
	if err != nil || len(vms) == 0 {
		return nil
	}
	out := make(map[tarragondeal.NodeID]bool)
	for _, o := range t.earlier {
		out[o.Node] = !slices.ContainsFunc(vms, func(v tarragondeal.EntryVM) bool { return v.Node == o.Node })
	}
	return out
}

// HeldBack reports whether err is a *HeldBackError.
func HeldBack(err error) bool {
	var h *HeldBackError
	return errors.As(err, &h)
}
