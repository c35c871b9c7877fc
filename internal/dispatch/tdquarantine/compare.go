package tdquarantine

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
)

// compareTimeout bounds how long a suspect waits for what other nodes know.
const compareTimeout = 200 * time.Millisecond

// Confirm compares what this node knows of a suspect with what the other
// nodes know, before the suspect runs again. When it returns, every node that
// could be reached knows that the request is a suspect, and this node knows
// of every crash that was over before the request came here. So a caller that
// sends the request to another node at once gains nothing by it.
func (k *Keeper) Confirm(ctx context.Context, fingerprint uint64) (Verdict, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	in := k.history(fingerprint)
	self := k.Members.Self().Node
	calls := pool.New().WithMaxGoroutines(tellsAtOnce)
	for _, m := range k.Members.Members() {
		if m.Node != self {
			calls.Go(func() { k.compare(ctx, m.Node, in) })
		}
	}
	calls.Wait()
	return k.Check(fingerprint)
}

func (k *Keeper) compare(ctx context.Context, node tarragondeal.NodeID, in *History) {
	conn, err := k.Links.Conn(node)
	if err != nil {
		return
	}
	out, err := NewQuarantineClient(conn).Compare(ctx, in)
	if err != nil {
		k.Log.Debug().Err(err).Str("peer", string(node)).Msg("can't compare crashes with a node")
		return
	}
	k.learn(in.GetFingerprint(), out)
}

// Compare serves a peer's call.
func (k *Keeper) Compare(_ context.Context, in *History) (*History, error) {
	k.learn(in.GetFingerprint(), in)
	return k.history(in.GetFingerprint()), nil
}

func (k *Keeper) learn(fingerprint uint64, h *History) {
	for _, m := range h.GetMet() {
		k.add(Notice{Server: tarragondeal.ServerID(m.GetServer()), Run: m.GetRun(), Fingerprint: fingerprint})
	}
}

func (k *Keeper) history(fingerprint uint64) *History {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := &History{Fingerprint: fingerprint}
	for _, c := range k.table.met(fingerprint) {
		out.Met = append(out.Met, &Met{Server: string(c.server), Run: c.run})
	}
	return out
}
