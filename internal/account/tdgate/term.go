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
	recordTries  = 8
	closeTimeout = 2 * time.Second
)

// Receiver is what takes a duty's writes.
type Receiver struct {
	Name          string
	ChecksFencing bool
}

// HeldBackError is a write that was not sent, since an earlier holder may
// still be sending to a receiver that ignores fencing tokens.
type HeldBackError struct {
	Receiver string
	Holder   tarragondeal.NodeID // The earlier holder's node.
}

func (e *HeldBackError) Error() string {
	return fmt.Sprintf("%s: held back until node %s is known to send nothing", e.Receiver, e.Holder)
}

// holder is a process that may have sent under a fencing token.
type holder struct {
	Node    tarragondeal.NodeID `json:"node"`
	Process string              `json:"process"`
	Fence   uint64              `json:"fence"`
}

// record lists the holders that are not cleared, the present one included.
type record struct {
	Holders []holder `json:"holders"`
}

// earlier is what the present holder knows of an earlier one.
type earlier struct {
	holder
	since     tarragondeal.Instant // When this term began to ask.
	goneSince tarragondeal.Instant // When its process was first found to have ended; zero for not.
	offSince  tarragondeal.Instant // When its VM was first found off the list; zero for not.
	// closed says that its process has closed its gate; unsettled is until
	// when receivers may act on what it gave up.
	closed    bool
	unsettled map[string]tarragondeal.Instant
}

// Term is the time under one acquisition of a lease.
type Term struct {
	gates   *Gates
	gate    *gate
	key     string
	held    tarragondeal.Held
	self    holder
	earlier []*earlier
}

// Enter begins a term. It puts this process on record as a holder before it
// sends anything, and learns of the holders that are not cleared yet.
func (g *Gates) Enter(ctx context.Context, name string, h tarragondeal.Held) (*Term, error) {
	t := &Term{
		gates: g, gate: g.gate(name), key: "duty/" + name + "/holders", held: h,
		self: holder{Node: g.Members.Self().Node, Process: g.process, Fence: h.Fence()},
	}
	if t.gate == nil {
		return nil, eris.New("too many gates")
	}
	t.gate.close(h.Fence()) // Of this process's own earlier terms.
	now := g.Clock.Now()
	err := t.change(ctx, func(r record) (record, bool) {
		t.earlier = nil
		next := record{Holders: []holder{t.self}}
		for _, o := range r.Holders {
			if o.Process != t.self.Process {
				next.Holders = append(next.Holders, o)
				t.earlier = append(t.earlier, &earlier{holder: o, since: now})
			}
		}
		return next, true
	})
	return t, err
}

// change edits the record by compare-and-swap. It must not be changed by a
// holder whose token is older than the newest on record.
func (t *Term) change(ctx context.Context, edit func(record) (record, bool)) error {
	store := t.gates.Store
	var err error
	for range recordTries {
		var e tarragondeal.Entry
		if e, err = store.Get(ctx, t.key); err != nil {
			continue
		}
		var r record
		if e.Revision != 0 {
			if err = json.Unmarshal(e.Value, &r); err != nil {
				return eris.Wrapf(err, "%s", t.key)
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
		// A lost answer is settled by editing what stands there once more.
		if _, err = store.Swap(ctx, t.key, value, e.Revision); err == nil {
			return nil
		}
	}
	return eris.Wrapf(err, "%s", t.key)
}

// Send sends one write if the lease is surely held until it has ended, and
// if the receiver can't get an earlier holder's write after it.
func (t *Term) Send(ctx context.Context, r Receiver, within time.Duration, do func(context.Context) error) error {
	if !r.ChecksFencing {
		if o := t.blocking(r.Name); o != nil {
			return &HeldBackError{Receiver: r.Name, Holder: o.Node}
		}
	}
	return t.gate.send(ctx, t.held, r.Name, within, do)
}

// blocking returns an earlier holder that may still reach a receiver.
func (t *Term) blocking(receiver string) *earlier {
	now := t.gates.Clock.Now()
	for _, o := range t.earlier {
		if !o.closed || now < o.unsettled[receiver] {
			return o
		}
	}
	return nil
}

// Cleared reports whether all earlier holders are known to send nothing.
func (t *Term) Cleared() bool { return len(t.earlier) == 0 }

// Clear asks after the earlier holders once, and takes those that are
// cleared for every receiver off the record.
func (t *Term) Clear(ctx context.Context) error {
	if t.Cleared() {
		return nil
	}
	off := t.offList(ctx)
	for _, o := range t.earlier {
		t.ask(ctx, o, off)
	}
	now := t.gates.Clock.Now()
	done := func(o *earlier) bool {
		if !o.closed {
			return false
		}
		for _, until := range o.unsettled {
			if now < until {
				return false
			}
		}
		return true
	}
	var cleared []string
	for _, o := range t.earlier {
		if done(o) {
			cleared = append(cleared, o.Process)
		}
	}
	if len(cleared) == 0 {
		return nil
	}
	err := t.change(ctx, func(r record) (record, bool) {
		n := len(r.Holders)
		r.Holders = slices.DeleteFunc(r.Holders, func(o holder) bool { return slices.Contains(cleared, o.Process) })
		return r, len(r.Holders) != n
	})
	if err == nil {
		t.earlier = slices.DeleteFunc(t.earlier, done)
	}
	return err
}

// ask tries each way in which an earlier holder can be found to send nothing.
func (t *Term) ask(ctx context.Context, o *earlier, off map[tarragondeal.NodeID]bool) {
	now, cfg := t.gates.Clock.Now(), t.gates.cfg
	t.askProcess(ctx, o)
	switch {
	case o.closed:
	case o.goneSince != 0 && now.Sub(o.goneSince) >= cfg.Settle:
		o.closed = true
	case !off[o.Node]:
		o.offSince = 0
	case o.offSince == 0:
		o.offSince = now
	case now.Sub(o.offSince) >= cfg.ListLag+cfg.Settle:
		o.closed = true
	}
	if cfg.HoldOff > 0 && now.Sub(o.since) >= cfg.HoldOff {
		o.closed = true
	}
}

func (t *Term) askProcess(ctx context.Context, o *earlier) {
	a, err := t.call(ctx, o.Node)
	now := t.gates.Clock.Now()
	switch {
	case err != nil:
		t.gates.Log.Debug().Err(err).Str("holder", string(o.Node)).Msg("earlier holder gives no answer")
	case a.GetProcess() != o.Process:
		// Another process has the node's address, so the earlier one ended.
		if o.goneSince == 0 {
			o.goneSince = now
		}
	default:
		o.closed = true
		o.unsettled = make(map[string]tarragondeal.Instant)
		for _, u := range a.GetUnsettled() {
			o.unsettled[u.GetReceiver()] = now.Add(t.gates.cfg.Settle - time.Duration(u.GetAgeNanos()))
		}
	}
}

func (t *Term) call(ctx context.Context, n tarragondeal.NodeID) (*CloseAnswer, error) {
	r := &CloseRequest{Name: t.gate.name, Below: t.self.Fence}
	if n == t.gates.Members.Self().Node {
		// The earlier holder was a process at this node.
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

// offList returns the earlier holders' nodes that are surely not on the
// platform's list. An empty list tells nothing.
func (t *Term) offList(ctx context.Context) map[tarragondeal.NodeID]bool {
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

// HeldBack reports whether err is a write that waits for an earlier holder.
func HeldBack(err error) bool {
	var h *HeldBackError
	return errors.As(err, &h)
}
