package tdnode

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/fleet/tdconfig"
	"tarragondeal/internal/fleet/tdmember"
	"tarragondeal/internal/fleet/tdpeer"
)

// fleet is what the nodes agree on and how they talk.
type fleet struct {
	store   tarragondeal.Store
	members *tdmember.Members
	links   *tdpeer.Links
	config  *tdconfig.Config
}

func (n *Node) buildFleet() error {
	self, err := n.self()
	if err != nil {
		return err
	}
	n.fleet.store = n.kv
	n.fleet.members = tdmember.New(self)
	n.fleet.links = tdpeer.New(n.fleet.members)
	n.fleet.config = tdconfig.New(n.fleet.store, tdlog.Part(n.log, "config"))
	n.add("follow config", n.fleet.config.Run)
	n.add("serve peers", func(ctx context.Context) error {
		return n.fleet.links.Serve(ctx, n.listeners.peers)
	})
	return nil
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
	entry, err := netip.ParseAddrPort(n.listeners.callers.Addr().String())
	if err != nil {
		return tarragondeal.Member{}, eris.Wrap(err, "setting listen.callers")
	}
	return tarragondeal.Member{
		Node: tarragondeal.NodeID(n.cfg.Name), DataCentre: n.cfg.DataCentre, Peer: peer, Entry: entry,
	}, nil
}

// leave tells the other nodes that this one is stopping.
func (f *fleet) leave() {}
