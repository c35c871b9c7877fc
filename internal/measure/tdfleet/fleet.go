// Package tdfleet runs the processes of a measured deployment: the stand-ins
// in this process, and real nodes in processes of their own, each reached by
// its peers and the platform through a fault-injecting proxy.
//
// # Usage
//
//	f, err := tdfleet.Start(ctx, tdfleet.Options{Binary: path, ...})
//	defer f.Close()
//	keys, err := f.Publish(ctx)
package tdfleet

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/object/tdset"
	"tarragondeal/internal/platform/tdwire"
	"tarragondeal/internal/standin/tdcluster"
)

// Options say what to run.
type Options struct {
	Binary string // The product's program.
	Deploy *tddeploy.Deployment
	Policy string
	LogTo  io.Writer
	Args   []string // Further flags of every node.
}

// Fleet is a running deployment.
type Fleet struct {
	Cluster *tdcluster.Cluster
	Nodes   []*Node
	opt     Options
	store   netip.AddrPort
}

// Start starts the stand-ins and the nodes, and waits until every node takes
// callers.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	cluster, err := tdcluster.Start(o.Deploy.Spec)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Cluster: cluster, opt: o}
	u, err := url.Parse(cluster.PlatformURL)
	if err == nil {
		f.store, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil {
		f.Close()
		return nil, eris.Wrap(err, "platform address")
	}
	for n, dataCentre := range o.Deploy.Nodes {
		node, err := newNode(fmt.Sprintf("entry%d", n+1), dataCentre, f.store)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Nodes = append(f.Nodes, node)
	}
	f.list()
	for _, n := range f.Nodes {
		if err := f.StartNode(ctx, n); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// list puts the entry VMs on the platform's list.
func (f *Fleet) list() {
	vms := make([]tdwire.VM, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		vms = append(vms, tdwire.VM{
			Name: n.Name, Kind: tdwire.KindEntry, DataCentre: n.DataCentre, Addr: n.peerProxy.Addr(), State: "live",
		})
	}
	f.Cluster.SetEntryVMs(vms)
}

// StartNode starts a node's process, again if it ended before.
func (f *Fleet) StartNode(ctx context.Context, n *Node) error {
	args := append([]string{
		"-peers", f.peersOf(n), "-dispatch.policy", f.opt.Policy,
	}, f.opt.Args...)
	return n.start(ctx, f.opt.Binary, f.opt.LogTo, args)
}

// peersOf names a few other nodes for a start.
func (f *Fleet) peersOf(n *Node) string {
	out := ""
	for _, m := range f.Nodes {
		if m == n {
			continue
		}
		if out != "" {
			out += ","
		}
		out += m.peerProxy.Addr().String()
	}
	return out
}

// Publish publishes the deployment's set with a key for each workspace, and
// returns the keys' texts in the workspaces' order.
func (f *Fleet) Publish(ctx context.Context) ([]string, error) {
	set := *f.opt.Deploy.Set
	set.Keys = nil
	var texts []string
	for _, ws := range set.Workspaces {
		text, key, err := tdkey.Issue(ws.Name, ws.Name)
		if err != nil {
			return nil, err
		}
		texts = append(texts, text)
		set.Keys = append(set.Keys, key)
	}
	if err := f.Change(ctx, f.Nodes[0], func(s *tarragondeal.Set) { *s = set }); err != nil {
		return nil, err
	}
	return texts, f.settle(ctx, len(texts))
}

// Change reads the set in force at a node, changes it and publishes it.
func (f *Fleet) Change(ctx context.Context, n *Node, change func(*tarragondeal.Set)) error {
	var now struct {
		Version tarragondeal.Version `json:"version"`
		Set     *tarragondeal.Set    `json:"set"`
	}
	if err := n.Operator(ctx, "GET", "/operator/set", nil, &now); err != nil {
		return err
	}
	if now.Set == nil {
		now.Set = &tarragondeal.Set{}
	}
	change(now.Set)
	text, err := tdset.Format(now.Set)
	if err != nil {
		return err
	}
	in := map[string]any{"version": now.Version, "text": string(text)}
	return n.Operator(ctx, "PUT", "/operator/set", in, nil)
}

// settle waits until every node has a set with so many keys in force, and
// gives the nodes time to learn of the backend servers.
func (f *Fleet) settle(ctx context.Context, keys int) error {
	for _, n := range f.Nodes {
		for {
			var now struct {
				Set *tarragondeal.Set `json:"set"`
			}
			err := n.Operator(ctx, "GET", "/operator/set", nil, &now)
			if err == nil && now.Set != nil && len(now.Set.Keys) == keys {
				break
			}
			if !tdclock.Sleep(ctx, 50*time.Millisecond) {
				return eris.Wrapf(ctx.Err(), "node %s has no set in force", n.Name)
			}
		}
	}
	tdclock.Sleep(ctx, 2*time.Second)
	return nil
}

// Close ends all processes and stand-ins.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.close()
	}
	f.Cluster.Close()
}
