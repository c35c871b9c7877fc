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

// fleet holds the running nodes of a quickstart.
type fleet struct {
	nodes  []*tdnode.Node
	cancel context.CancelFunc
	group  *tdtask.Group
}

// startFleet starts the nodes on free ports, each in a different data centre.
func startFleet(platform, token string, logs io.Writer) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{cancel: cancel, group: tdtask.New(context.Background())}
	dataCentres := []string{"duluth", "toledo", "erie"}
	var peers []string
	for n := range nodeCount {
		s, err := nodeSettings(fmt.Sprintf("node%d", n+1), dataCentres[n%len(dataCentres)], platform, token, strings.Join(peers, ","))
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

// nodeSettings returns the settings of a node: the defaults with free ports,
// shorter intervals and a shorter drain. The environment is not read.
func nodeSettings(name, dataCentre, platform, token, peers string) (tdsettings.Settings, error) {
	var s tdsettings.Settings
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	s.Register(fs)
	const freeAddr = "127.0.0.1:0"
	err := fs.Parse([]string{
		"-name", name, "-dataCentre", dataCentre, "-platform.url", platform, "-operator.token", token, "-peers", peers,
		"-listen.callers", freeAddr, "-listen.peers", freeAddr, "-listen.operators", freeAddr,
		"-platform.listEvery", "200ms", "-dispatch.startWait", "200ms", "-dispatch.loadEvery", "100ms", "-entry.ttl", "200ms", "-drain.wait", "200ms",
	})
	return s, err
}

// stop shuts the nodes down gracefully and waits until all have ended.
func (f *fleet) stop() {
	f.cancel()
	go f.group.Close()
	for end := range f.group.Ends() {
		_ = end // Each node logs its own end.
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

// pollInterval is the interval between checks of whether the nodes are ready.
const pollInterval = 50 * time.Millisecond

// waitReady waits until every node knows all nodes and the given number of live
// backend servers.
func (f *fleet) waitReady(ctx context.Context, token string, servers int) error {
	for n := range f.nodes {
		c := tdoperator.NewClient(f.operators(n).String(), token)
		for {
			s, err := c.Status(ctx)
			if err == nil && len(s.Nodes) == len(f.nodes) && liveServers(s) == servers {
				break
			}
			select {
			case <-time.After(pollInterval):
			case <-ctx.Done():
				return fmt.Errorf("node%d knows %d nodes and %d servers: %w", n+1, len(s.Nodes), liveServers(s), ctx.Err())
			}
		}
	}
	return nil
}

// liveServers returns the number of live backend servers in s.
func liveServers(s tdoperator.Status) int {
	sum := 0
	for _, g := range s.Servers {
		sum += g.Live
	}
	return sum
}
