package tdquickstart

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/node/tdnode"
	"tarragondeal/internal/node/tdsettings"
)

// fleet is the nodes of a quickstart.
type fleet struct {
	nodes  []*tdnode.Node
	cancel context.CancelFunc
	group  *tdtask.Group
}

// startFleet starts nodes on free ports, each in a data centre of its own.
func startFleet(platform, token string, logs io.Writer) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel, group: tdtask.New(context.Background())}
	places := []string{"duluth", "toledo", "erie"}
	var peers []string
	for n := range nodeCount {
		s, err := settings(fmt.Sprintf("node%d", n+1), places[n%len(places)], platform, token, strings.Join(peers, ","))
		if err != nil {
			cancel()
			return nil, err
		}
		node, err := tdnode.New(s, logs)
		if err != nil {
			f.stop()
			return nil, err
		}
		f.nodes = append(f.nodes, node)
		f.group.Go(s.Name, func(context.Context) error { return node.Run(ctx) })
		_, peer, _ := node.Addresses()
		peers = append(peers, peer.String())
	}
	return f, nil
}

// settings returns a node's settings: the defaults, free ports, and a short
// drain. The environment is left out of it.
func settings(name, dataCentre, platform, token, peers string) (tdsettings.Settings, error) {
	var s tdsettings.Settings
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	s.Register(fs)
	const free = "127.0.0.1:0"
	err := fs.Parse([]string{
		"-name", name, "-dataCentre", dataCentre, "-platform.url", platform, "-operator.token", token, "-peers", peers,
		"-listen.callers", free, "-listen.peers", free, "-listen.operators", free,
		"-platform.listEvery", "200ms", "-dispatch.startWait", "200ms", "-dispatch.loadEvery", "100ms", "-entry.ttl", "200ms", "-drain.wait", "200ms",
	})
	return s, err
}

// stop ends the nodes gracefully.
func (f *fleet) stop() {
	f.cancel()
	go f.group.Close()
	for end := range f.group.Ends() {
		_ = end // The nodes log their own ends.
	}
}

func (f *fleet) callers(n int) netip.AddrPort {
	a, _, _ := f.nodes[n].Addresses()
	return a
}

func (f *fleet) peers(n int) netip.AddrPort {
	_, a, _ := f.nodes[n].Addresses()
	return a
}

func (f *fleet) operators(n int) netip.AddrPort {
	_, _, a := f.nodes[n].Addresses()
	return a
}

func (f *fleet) String() string {
	addrs := make([]string, 0, len(f.nodes))
	for n := range f.nodes {
		addrs = append(addrs, f.callers(n).String())
	}
	return strings.Join(addrs, ", ")
}

// pollEvery is how often it is asked whether the nodes are ready.
const pollEvery = 50 * time.Millisecond

// ready waits until every node knows all nodes and backend servers.
func (f *fleet) ready(ctx context.Context, token string, servers int) error {
	for n := range f.nodes {
		c := tdoperator.NewClient(f.operators(n).String(), token)
		for {
			s, err := c.Status(ctx)
			if err == nil && len(s.Nodes) == len(f.nodes) && live(s) == servers {
				break
			}
			select {
			case <-time.After(pollEvery):
			case <-ctx.Done():
				return fmt.Errorf("node%d knows %d nodes and %d servers: %w", n+1, len(s.Nodes), live(s), ctx.Err())
			}
		}
	}
	return nil
}

func live(s tdoperator.Status) int {
	sum := 0
	for _, g := range s.Servers {
		sum += g.Live
	}
	return sum
}
