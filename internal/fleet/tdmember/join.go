package tdmember

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

const (
	anchorCount    = 5
	anchorPrefix   = "anchor/"
	anchorInterval = 5 * time.Minute
	joinHeartbeats = 20 // Heartbeat intervals between two join attempts while other nodes are known.
)

// anchor is the address of a node in the store, for nodes that know no other
// node.
type anchor struct {
	Node tarragondeal.NodeID `json:"node"`
	Peer netip.AddrPort      `json:"peer"`
}

// join finds other nodes: immediately and with backoff while none is known,
// and periodically afterwards, so that the sides of a long network partition
// find each other again.
func (r *runner) join(ctx context.Context) {
	var written time.Duration
	retryDelay := r.m.opt.Every
	for ctx.Err() == nil {
		alone := len(r.m.Members()) == 1
		wait := joinHeartbeats * r.m.opt.Every
		if alone {
			r.joinAddrs(ctx, r.candidates(ctx, true))
			wait = retryDelay
			retryDelay = min(2*retryDelay, joinHeartbeats*r.m.opt.Every)
		} else {
			retryDelay = r.m.opt.Every
			r.joinAddrs(ctx, pickOne(r.candidates(ctx, false)))
			if written == 0 || written >= anchorInterval {
				r.writeAnchors(ctx)
				written = 0
			}
			written += wait
		}
		r.waitJoin(ctx, wait, alone)
	}
}

// waitJoin waits for about the given time, with jitter. If alone is set, it
// returns as soon as another node is known.
func (r *runner) waitJoin(ctx context.Context, wait time.Duration, alone bool) {
	wait = wait/2 + rand.N(wait)
	if !alone {
		sleep(ctx, wait)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_ = r.m.Wait(ctx, func(ms []tarragondeal.Member) bool { return len(ms) > 1 })
}

func pickOne(addrs []netip.AddrPort) []netip.AddrPort {
	if len(addrs) == 0 {
		return nil
	}
	return []netip.AddrPort{addrs[rand.IntN(len(addrs))]}
}

// candidates returns addresses at which a node may run and that belong to no
// known member.
func (r *runner) candidates(ctx context.Context, alone bool) []netip.AddrPort {
	m := r.m
	known := make(map[netip.AddrPort]bool)
	for _, o := range m.Members() {
		known[o.Peer] = true
	}
	var out []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a.IsValid() && !known[a] {
			known[a] = true
			out = append(out, a)
		}
	}
	for _, a := range m.opt.Seeds {
		add(a)
	}
	m.mu.Lock()
	for _, e := range m.table.dead() {
		add(e.Peer)
	}
	m.mu.Unlock()
	for _, a := range r.vmAddrs(ctx) {
		add(a)
	}
	if alone {
		for _, a := range r.readAnchors(ctx) {
			add(a)
		}
	}
	return out
}

func (r *runner) vmAddrs(ctx context.Context) []netip.AddrPort {
	if r.m.opt.VMs == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.m.callTimeout())
	defer cancel()
	vms, err := r.m.opt.VMs.EntryVMs(ctx)
	if err != nil {
		r.m.opt.Log.Debug().Err(err).Msg("can't read the list of VMs")
		return nil
	}
	out := make([]netip.AddrPort, 0, len(vms))
	for _, v := range vms {
		out = append(out, v.Peer)
	}
	return out
}

// joinAddrs sends this node's record to the nodes at the addresses, in random
// order, and merges the members that they know.
func (r *runner) joinAddrs(ctx context.Context, addrs []netip.AddrPort) {
	const maxAnswers = 3 // The remaining addresses are skipped.
	answers := 0
	for _, n := range rand.Perm(len(addrs)) {
		if answers == maxAnswers || ctx.Err() != nil {
			return
		}
		if r.joinAddr(ctx, addrs[n]) {
			answers++
		}
	}
}

func (r *runner) joinAddr(ctx context.Context, addr netip.AddrPort) bool {
	m := r.m
	conn, err := r.links.Dial(addr)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	m.mu.Lock()
	in := &Digests{Self: encode(m.table.entries[m.table.self])}
	m.mu.Unlock()
	out, err := NewMembershipClient(conn).Sync(ctx, in)
	if err != nil {
		m.opt.Log.Debug().Err(err).Stringer("peer", addr).Msg("join request failed")
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contacted, m.lastContact = true, m.opt.Clock.Now()
	m.mergeRecords(out.GetRecords(), "")
	return true
}

// writeAnchors writes this node's address to the anchors that it owns, unless
// they contain it already.
func (r *runner) writeAnchors(ctx context.Context) {
	m := r.m
	if m.opt.Store == nil {
		return
	}
	self := m.Self()
	for n := range anchorCount {
		if anchorOwner(n, m.Members()) != self.Node {
			continue
		}
		value, err := json.Marshal(anchor{Node: self.Node, Peer: self.Peer})
		if err != nil {
			return
		}
		key := anchorPrefix + strconv.Itoa(n)
		e, err := m.opt.Store.Get(ctx, key)
		if err == nil && string(e.Value) != string(value) {
			_, err = m.opt.Store.Swap(ctx, key, value, e.Revision)
		}
		if err != nil {
			m.opt.Log.Debug().Err(err).Msg("can't write anchor")
			return
		}
	}
}

// anchorOwner returns the live member that ranks highest by a hash of the
// anchor's number and its name.
func anchorOwner(n int, members []tarragondeal.Member) tarragondeal.NodeID {
	var owner tarragondeal.NodeID
	var best uint64
	for _, o := range members {
		if h := xxhash.Sum64String(strconv.Itoa(n) + "\x00" + string(o.Node)); h > best && o.State == tarragondeal.MemberAlive {
			best, owner = h, o.Node
		}
	}
	return owner
}

func (r *runner) readAnchors(ctx context.Context) []netip.AddrPort {
	m := r.m
	if m.opt.Store == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	entries, err := m.opt.Store.List(ctx, anchorPrefix, "", anchorCount)
	if err != nil {
		m.opt.Log.Debug().Err(err).Msg("can't read anchors")
		return nil
	}
	var out []netip.AddrPort
	for _, e := range entries {
		var a anchor
		if json.Unmarshal(e.Value, &a) == nil {
			out = append(out, a.Peer)
		}
	}
	return out
}
