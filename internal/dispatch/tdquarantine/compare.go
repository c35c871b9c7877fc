package tdquarantine

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
)

// compareTimeout is the maximum time that a suspect waits for other nodes'
// crash histories.
const compareTimeout = 200 * time.Millisecond

// Confirm exchanges the crash history of a suspect with all other nodes before
// the suspect runs again, and returns the resulting verdict like Check. When it
// returns, every reachable node knows that the request is a suspect, and this
// node knows of every crash that ended before the request arrived here. So a
// caller can't evade quarantine by sending the request to another node at once.
func (q *Quarantine) Confirm(ctx context.Context, fingerprint uint64) (Verdict, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	in := q.history(fingerprint)
	self := q.Members.Self().Node
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	for _, m := range q.Members.Members() {
		if m.Node != self {
			calls.Go(func() { q.compare(ctx, m.Node, in) })
		}
	}
	calls.Wait()
	return q.Check(fingerprint)
}

func (q *Quarantine) compare(ctx context.Context, node tarragondeal.NodeID, in *History) {
	conn, err := q.Links.Conn(node)
	if err != nil {
		return
	}
	out, err := NewQuarantineClient(conn).Compare(ctx, in)
	if err != nil {
		q.Log.Debug().Err(err).Str("peer", string(node)).Msg("can't compare crash history with peer")
		return
	}
	q.merge(in.GetFingerprint(), out)
}

// Compare implements QuarantineServer.
func (q *Quarantine) Compare(_ context.Context, in *History) (*History, error) {
	q.merge(in.GetFingerprint(), in)
	return q.history(in.GetFingerprint()), nil
}

func (q *Quarantine) merge(fingerprint uint64, h *History) {
	for _, m := range h.GetMet() {
		q.add(Notice{Server: tarragondeal.ServerID(m.GetServer()), Run: m.GetRun(), Fingerprint: fingerprint})
	}
}

func (q *Quarantine) history(fingerprint uint64) *History {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := &History{Fingerprint: fingerprint}
	for _, c := range q.table.crashes(fingerprint) {
		out.Met = append(out.Met, &Met{Server: string(c.server), Run: c.run})
	}
	return out
}
