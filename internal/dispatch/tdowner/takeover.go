package tdowner

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
)

const (
	// takeOverTimeout bounds one node's answer.
	takeOverTimeout = 500 * time.Millisecond
	// handOverBound is how long a server that another node owns now is kept
	// for that node to take it over.
	handOverBound = 2 * time.Second
)

// taking is a server that is being taken over.
type taking struct {
	awaited map[tarragondeal.NodeID]bool
}

func newTaking(p *Placement, self tarragondeal.NodeID) *taking {
	t := &taking{awaited: make(map[tarragondeal.NodeID]bool)}
	for n := range p.live {
		if n != self {
			t.awaited[n] = true
		}
	}
	return t
}

func (b *Book) has(id tarragondeal.ServerID) bool {
	_, ok := b.seats[id]
	return ok
}

// outlived reports whether a server that another node owns has been kept for
// long enough. The first call starts the time.
func (b *Book) outlived(now tarragondeal.Instant, id tarragondeal.ServerID) bool {
	st := b.seats[id]
	if st.lostAt == 0 {
		st.lostAt = now
	}
	return now.Sub(st.lostAt) > handOverBound
}

// postpone goes on waiting for a node that still owns a server.
func (b *Book) postpone(now tarragondeal.Instant, id tarragondeal.ServerID) {
	if st, ok := b.seats[id]; ok {
		st.settleBy = now.Add(settleBound)
	}
}

// answer is what one node said of the servers it was asked for.
type answer struct {
	node  tarragondeal.NodeID
	asked []tarragondeal.ServerID
	reply *TakeOverReply
	err   error
}

// Take takes servers over that this node has become the owner of, until ctx
// ends.
func (o *Owner) Take(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		o.takeOver(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// takeOver asks the nodes that have not told yet what runs on the servers
// that this node takes over.
func (o *Owner) takeOver(ctx context.Context) {
	ask := make(map[tarragondeal.NodeID][]tarragondeal.ServerID)
	o.mu.Lock()
	for id, t := range o.taking {
		o.holdOwn(id)
		for n := range t.awaited {
			ask[n] = append(ask[n], id)
		}
	}
	o.mu.Unlock()
	answers := make(chan answer, len(ask))
	var wg conc.WaitGroup
	for n, servers := range ask {
		wg.Go(func() { answers <- o.askNode(ctx, n, servers) })
	}
	wg.Wait()
	close(answers)
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := range answers {
		o.answered(a)
	}
	o.settle()
}

// holdOwn counts the grants that this node's own callers hold.
func (o *Owner) holdOwn(id tarragondeal.ServerID) {
	if o.holder == nil {
		return
	}
	for _, h := range o.holder.Held([]tarragondeal.ServerID{id}, o.self) {
		o.book.Hold(o.Clock.Now(), h)
	}
}

func (o *Owner) askNode(ctx context.Context, n tarragondeal.NodeID, servers []tarragondeal.ServerID) answer {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	a := answer{node: n, asked: servers}
	conn, err := o.Links.Conn(n)
	if err != nil {
		a.err = err
		return a
	}
	in := &TakeOverRequest{Node: string(o.self)}
	for _, id := range servers {
		in.Servers = append(in.Servers, string(id))
	}
	a.reply, a.err = NewOwnersClient(conn).TakeOver(ctx, in)
	return a
}

func (o *Owner) answered(a answer) {
	if a.err != nil && !o.gone(a) {
		return
	}
	now := o.Clock.Now()
	denied := make(map[string]bool)
	for _, id := range a.reply.GetDenied() {
		denied[id] = true
	}
	for _, h := range a.reply.GetHeld() {
		o.book.Hold(now, h)
	}
	for _, id := range a.asked {
		t, ok := o.taking[id]
		switch {
		case ok && denied[string(id)]:
			o.book.postpone(now, id)
		case ok:
			delete(t.awaited, a.node)
		}
	}
}

// gone reports whether a node that other nodes suspect takes no calls any
// more. One that is paused or cut off gives no such answer.
func (o *Owner) gone(a answer) bool {
	if status.Code(a.err) != codes.Unavailable {
		return false
	}
	for _, m := range o.Members.Members() {
		if m.Node == a.node {
			return m.State == tarragondeal.MemberSuspect
		}
	}
	return true
}

// settle lets servers be granted of which every live node has told.
func (o *Owner) settle() {
	now, p := o.Clock.Now(), o.placement.Load()
	for id, t := range o.taking {
		for n := range t.awaited {
			if !p.Live(n) {
				delete(t.awaited, n)
			}
		}
		if len(t.awaited) == 0 || o.book.Settled(id) {
			o.book.Settle(now, id)
			delete(o.taking, id)
		}
	}
}

// TakeOver serves the new owner of some servers.
func (o *Owner) TakeOver(_ context.Context, in *TakeOverRequest) (*TakeOverReply, error) {
	out := &TakeOverReply{}
	asker := tarragondeal.NodeID(in.GetNode())
	p := o.placement.Load().Next(o.Site.Servers(), o.Members.Members(), o.Site.Region)
	var yielded []tarragondeal.ServerID
	o.mu.Lock()
	for _, name := range in.GetServers() {
		id := tarragondeal.ServerID(name)
		// A server that is this node's own, by the membership as it is now, is
		// not yielded, be it that this node has yet to take it over itself.
		if p.Owner(id) == o.self && asker != o.self {
			out.Denied = append(out.Denied, name)
			continue
		}
		yielded = append(yielded, id)
		delete(o.taking, id)
		out.Held = append(out.Held, o.book.Close(id)...)
	}
	o.mu.Unlock()
	if o.holder != nil {
		out.Held = append(out.Held, o.holder.Held(yielded, asker)...)
	}
	return out, nil
}
