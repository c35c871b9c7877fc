package tdnode

import (
	"context"
	"net/netip"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/fleet/tdconfig"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/fleet/tdmember"
	"tarragondeal/internal/fleet/tdpeer"
	"tarragondeal/internal/fleet/tdspread"
	"tarragondeal/internal/fleet/tdstore"
)

// fleet is what the nodes agree on and how they talk.
type fleet struct {
	store   tarragondeal.Store
	members *tdmember.Members
	links   *tdpeer.Links
	spread  *tdspread.Spread
	leases  *tdlease.Leases
	config  *tdconfig.Config
}

func (n *Node) buildFleet() error {
	self, err := n.self()
	if err != nil {
		return err
	}
	seeds, err := addresses(n.cfg.Peers)
	if err != nil {
		return err
	}
	f := &n.fleet
	f.store = tdstore.New(n.kv, n.clock, tdstore.Options{
		Reads: n.cfg.StoreReads, Writes: n.cfg.StoreWrites, Timeout: n.cfg.StoreTimeout,
		Urgent: []string{"claim/", "lease/"}, Bulk: []string{"config/"},
		Nodes: func() int { return len(f.members.Members()) },
		Log:   tdlog.Part(n.log, "store"), Scope: n.metrics.Scope.SubScope("store"),
	})
	f.members = tdmember.New(self, tdmember.Options{
		Clock: n.clock, Log: tdlog.Part(n.log, "membership"), Scope: n.metrics.Scope.SubScope("membership"),
		Every: n.cfg.MemberEvery, Seeds: seeds, VMs: n.site, Store: f.store,
	})
	if f.links, err = tdpeer.New(f.members, tdpeer.Options{
		Files: tdpeer.Files{Cert: n.cfg.TLSCert, Key: n.cfg.TLSKey, CA: n.cfg.TLSCA, Name: n.cfg.TLSName},
		Log:   tdlog.Part(n.log, "links"), Scope: n.metrics.Scope.SubScope("peer"),
	}); err != nil {
		return err
	}
	f.spread = tdspread.New(f.members, tdspread.Options{Log: tdlog.Part(n.log, "spread"), Scope: n.metrics.Scope.SubScope("spread")})
	f.leases = tdlease.New(f.store, n.clock, f.members, tdlease.Options{
		TTL: n.cfg.LeaseTTL, Margin: n.cfg.LeaseMargin,
		Log: tdlog.Part(n.log, "lease"), Scope: n.metrics.Scope.SubScope("lease"),
	})
	f.config = tdconfig.New(tdconfig.Deps{
		Store: f.store, Members: f.members, Links: f.links, Clock: n.clock,
		Watchers: n.cfg.ConfigWatchers, Keep: n.cfg.ConfigKeep, StaleMax: n.cfg.ConfigStaleMax,
		Log: tdlog.Part(n.log, "config"), Scope: n.metrics.Scope.SubScope("config"),
	})
	f.members.Register(f.links.Server(), f.links)
	f.spread.Register(f.links.Server())
	f.config.Register(f.links.Server())
	n.add("follow config", f.config.Run)
	n.add("return memory", func(ctx context.Context) error { return returnMemory(ctx, f.config) })
	n.add("serve peers", func(ctx context.Context) error { return f.links.Serve(ctx, n.listeners.peers) })
	n.add("membership", func(ctx context.Context) error { return f.members.Run(ctx, f.links) })
	n.add("spread", func(ctx context.Context) error { return f.spread.Run(ctx, f.links) })
	return nil
}

// returnWait is how long after a change of configuration the old one's memory
// is returned, and so how often at most.
const returnWait = 5 * time.Second

// returnMemory gives the memory of superseded sets back to the VM, which is
// small and needs it for requests. The runtime itself would keep up to as
// much again as is in use.
func returnMemory(ctx context.Context, c tarragondeal.Config) error {
	for {
		select {
		case <-c.Changed():
		case <-ctx.Done():
			return nil
		}
		select {
		case <-time.After(returnWait):
			debug.FreeOSMemory()
		case <-ctx.Done():
			return nil
		}
	}
}

// addresses reads the setting peers.
func addresses(text string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for word := range strings.SplitSeq(text, ",") {
		word = strings.TrimSpace(word)
		if word == "" {
			continue
		}
		a, err := netip.ParseAddrPort(word)
		if err != nil {
			return nil, eris.Wrap(err, "setting peers")
		}
		out = append(out, a)
	}
	return out, nil
}

func (n *Node) self() (tarragondeal.Member, error) {
	peers := n.cfg.AdvertisePeers
	if peers == "" {
		peers = n.listeners.peers.Addr().String()
	}
	peer, err := netip.ParseAddrPort(peers)
	if err != nil {
		return tarragondeal.Member{}, eris.Wrap(err, "setting advertise.peers")
	}
	entry, err := netip.ParseAddrPort(n.callersAddr())
	if err != nil {
		return tarragondeal.Member{}, eris.Wrap(err, "setting listen.callers")
	}
	return tarragondeal.Member{
		Node: tarragondeal.NodeID(n.cfg.Name), DataCentre: n.cfg.DataCentre, Peer: peer, Entry: entry,
	}, nil
}

// leave tells the other nodes that this one is stopping.
func (f *fleet) leave() { f.members.Leave() }
