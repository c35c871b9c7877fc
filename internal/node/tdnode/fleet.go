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

// fleet holds the state shared by the nodes and their communication.
type fleet struct {
	store   tarragondeal.Store
	members *tdmember.Members
	links   *tdpeer.Links
	spread  *tdspread.Spread
	leases  *tdlease.Leases
	config  *tdconfig.Config
}

func (n *Node) buildFleet() error {
	self, err := n.selfMember()
	if err != nil {
		return err
	}
	seeds, err := parsePeers(n.cfg.Peers)
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
	n.addTask("follow config", f.config.Run)
	n.addTask("return memory", func(ctx context.Context) error { return returnMemory(ctx, f.config) })
	n.addTask("serve peers", func(ctx context.Context) error { return f.links.Serve(ctx, n.listeners.peers) })
	n.addTask("membership", func(ctx context.Context) error { return f.members.Run(ctx, f.links) })
	n.addTask("spread", func(ctx context.Context) error { return f.spread.Run(ctx, f.links) })
	return nil
}

// returnMemoryDelay is the delay between a configuration change and the return of
// memory, and so the minimum interval between two returns.
const returnMemoryDelay = 5 * time.Second

// returnMemory returns the memory of superseded configurations to the operating
// system after each change, until ctx ends. The VM is small and needs the memory
// for requests, and the Go runtime would retain up to as much as is in use.
func returnMemory(ctx context.Context, c tarragondeal.Config) error {
	for {
		select {
		case <-c.Changed():
		case <-ctx.Done():
			return nil
		}
		select {
		case <-time.After(returnMemoryDelay):
			debug.FreeOSMemory()
		case <-ctx.Done():
			return nil
		}
	}
}

// parsePeers parses the comma-separated addresses of the setting peers.
func parsePeers(text string) ([]netip.AddrPort, error) {
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

func (n *Node) selfMember() (tarragondeal.Member, error) {
	peers := n.cfg.AdvertisePeers
	if peers == "" {
		peers = n.listeners.peers.Addr().String()
	}
	peer, err := netip.ParseAddrPort(peers)
	if err != nil {
		return tarragondeal.Member{}, eris.Wrap(err, "setting advertise.peers")
	}
	entry, err := netip.ParseAddrPort(n.advertisedCallers())
	if err != nil {
		return tarragondeal.Member{}, eris.Wrap(err, "setting listen.callers")
	}
	return tarragondeal.Member{
		Node: tarragondeal.NodeID(n.cfg.Name), DataCentre: n.cfg.DataCentre, Peer: peer, Entry: entry,
	}, nil
}

// leave notifies the other nodes that this node is stopping.
func (f *fleet) leave() { f.members.Leave() }
