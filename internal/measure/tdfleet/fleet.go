// Package tdfleet runs a measured deployment. The platform and the backend
// servers are stand-ins in this process; each node is a process of its own.
// Traffic between nodes, and from nodes to the platform, passes through
// fault-injecting proxies.
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

// Options configures a fleet.
type Options struct {
	Binary     string // Path of the tarragondeal program.
	Deployment *tddeploy.Deployment
	Policy     string
	LogTo      io.Writer
	Args       []string // Further flags of every node.
}

// Fleet is a running deployment.
type Fleet struct {
	Cluster      *tdcluster.Cluster
	Nodes        []*Node
	opt          Options
	platformAddr netip.AddrPort
}

// Start starts the stand-ins and the nodes, and waits until every node accepts
// callers' connections.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	cluster, err := tdcluster.Start(o.Deployment.Spec)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Cluster: cluster, opt: o}
	u, err := url.Parse(cluster.PlatformURL)
	if err == nil {
		f.platformAddr, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil {
		f.Close()
		return nil, eris.Wrap(err, "platform address")
	}
	for n, dataCentre := range o.Deployment.Nodes {
		node, err := newNode(fmt.Sprintf("entry%d", n+1), dataCentre, f.platformAddr)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Nodes = append(f.Nodes, node)
	}
	f.listEntryVMs()
	for _, n := range f.Nodes {
		if err := f.StartNode(ctx, n); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// listEntryVMs adds the entry VMs to the platform's list of VMs.
func (f *Fleet) listEntryVMs() {
	vms := make([]tdwire.VM, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		vms = append(vms, tdwire.VM{
			Name: n.Name, Kind: tdwire.KindEntry, DataCentre: n.DataCentre, Addr: n.peerProxy.Addr(), State: "live",
		})
	}
	f.Cluster.SetEntryVMs(vms)
}

// StartNode starts a node's process. It may be called again after the process
// has exited.
func (f *Fleet) StartNode(ctx context.Context, n *Node) error {
	args := append([]string{
		"-peers", f.peerAddrs(n), "-dispatch.policy", f.opt.Policy,
	}, f.opt.Args...)
	return n.start(ctx, f.opt.Binary, f.opt.LogTo, args)
}

// peerAddrs returns the peer addresses of all other nodes, separated by commas.
func (f *Fleet) peerAddrs(n *Node) string {
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

// Publish publishes the deployment's set with a new key for each workspace and
// waits until all nodes use it. It returns the texts of the keys in the order of
// the workspaces.
func (f *Fleet) Publish(ctx context.Context) ([]string, error) {
	set := *f.opt.Deployment.Set
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
	return texts, f.waitUntilReady(ctx, len(texts))
}

// Change reads the set in force at a node, applies change to it and publishes
// the result at the same node.
func (f *Fleet) Change(ctx context.Context, n *Node, change func(*tarragondeal.Set)) error {
	var current struct {
		Version tarragondeal.Version `json:"version"`
		Set     *tarragondeal.Set    `json:"set"`
	}
	if err := n.Operator(ctx, "GET", "/operator/set", nil, &current); err != nil {
		return err
	}
	if current.Set == nil {
		current.Set = &tarragondeal.Set{}
	}
	change(current.Set)
	text, err := tdset.Format(current.Set)
	if err != nil {
		return err
	}
	in := map[string]any{"version": current.Version, "text": string(text)}
	return n.Operator(ctx, "PUT", "/operator/set", in, nil)
}

// waitUntilReady waits until every node has a set with the given number of keys
// in force, and then two seconds more for the nodes to discover the backend
// servers.
func (f *Fleet) waitUntilReady(ctx context.Context, keys int) error {
	for _, n := range f.Nodes {
		for {
			var current struct {
				Set *tarragondeal.Set `json:"set"`
			}
			err := n.Operator(ctx, "GET", "/operator/set", nil, &current)
			if err == nil && current.Set != nil && len(current.Set.Keys) == keys {
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

// Close kills the nodes and stops the stand-ins.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.close()
	}
	f.Cluster.Close()
}
