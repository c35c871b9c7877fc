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
	anchors      = 5
	anchorPrefix = "anchor/"
	anchorsEvery = 5 * time.Minute
	seedBeats    = 20 // Heartbeats between two greetings while others are known.
)

// anchor is the record of one node in the store, for nodes that know nobody.
type anchor struct {
	Node tarragondeal.NodeID `json:"node"`
	Peer netip.AddrPort      `json:"peer"`
}

// join finds other nodes: at once while none is known, and now and then
// afterwards, so that parts of a fleet that were cut off from each other for
// long find each other again.
func (r *runner) join(ctx context.Context) {
	var written time.Duration
	lonely := r.m.opt.Every
	for ctx.Err() == nil {
		alone := len(r.m.Members()) == 1
		wait := seedBeats * r.m.opt.Every
		if alone {
			r.greet(ctx, r.candidates(ctx, true))
			wait = lonely
			lonely = min(2*lonely, seedBeats*r.m.opt.Every)
		} else {
			lonely = r.m.opt.Every
			r.greet(ctx, some(r.candidates(ctx, false)))
			if written == 0 || written >= anchorsEvery {
				r.writeAnchors(ctx)
				written = 0
			}
			written += wait
		}
		r.pause(ctx, wait, alone)
	}
}

// pause waits with jitter, but no longer than until others are known.
func (r *runner) pause(ctx context.Context, wait time.Duration, alone bool) {
	wait = wait/2 + rand.N(wait)
	if !alone {
		sleep(ctx, wait)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_ = r.m.Wait(ctx, func(ms []tarragondeal.Member) bool { return len(ms) > 1 })
}

func some(addrs []netip.AddrPort) []netip.AddrPort {
	if len(addrs) == 0 {
		return nil
	}
	return []netip.AddrPort{addrs[rand.IntN(len(addrs))]}
}

// candidates returns addresses that may be nodes' and are no member's.
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
	for _, a := range r.listed(ctx) {
		add(a)
	}
	if alone {
		for _, a := range r.readAnchors(ctx) {
			add(a)
		}
	}
	return out
}

func (r *runner) listed(ctx context.Context) []netip.AddrPort {
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

// greet tells nodes at addresses of this one, and learns whom they know.
func (r *runner) greet(ctx context.Context, addrs []netip.AddrPort) {
	const enough = 3 // Answers after which a lone node stops asking.
	answers := 0
	for _, n := range rand.Perm(len(addrs)) {
		if answers == enough || ctx.Err() != nil {
			return
		}
		if r.greetOne(ctx, addrs[n]) {
			answers++
		}
	}
}

func (r *runner) greetOne(ctx context.Context, addr netip.AddrPort) bool {
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
		m.opt.Log.Debug().Err(err).Stringer("peer", addr).Msg("no node answers")
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard, m.heardAt = true, m.opt.Clock.Now()
	m.learn(out.GetRecords(), "")
	return true
}

// writeAnchors puts this node's address into the anchors that are its own,
// by a hash of its name, unless they hold it already.
func (r *runner) writeAnchors(ctx context.Context) {
	m := r.m
	if m.opt.Store == nil {
		return
	}
	self := m.Self()
	for n := range anchors {
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
			m.opt.Log.Debug().Err(err).Msg("can't write an anchor")
			return
		}
	}
}

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
	entries, err := m.opt.Store.List(ctx, anchorPrefix, "", anchors)
	if err != nil {
		m.opt.Log.Debug().Err(err).Msg("can't read the anchors")
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
