package tdburn

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
)

const (
	// collectTimeout limits the call to one node, and a hand-over as a whole.
	collectTimeout = 5 * time.Second
	// collectConcurrency limits the calls in progress.
	collectConcurrency = 16
)

// Links provides connections to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Fleet is a Collector's access to the other nodes and the backend servers.
type Fleet struct {
	Members tarragondeal.Members
	Links   Links
	// Servers returns the last known backend servers.
	Servers func() []tarragondeal.Server
}

// Collector merges the measures of all nodes.
type Collector struct {
	UnimplementedReportsServer
	burn  *Recorder
	fleet Fleet
}

// NewCollector returns a collector on the node whose own measures are b.
func NewCollector(b *Recorder, f Fleet) *Collector { return &Collector{burn: b, fleet: f} }

// Register registers the Reports service.
func (c *Collector) Register(r grpc.ServiceRegistrar) { RegisterReportsServer(r, c) }

// Collect implements the RPC that returns this node's measures.
func (c *Collector) Collect(context.Context, *CollectRequest) (*Measures, error) {
	return c.burn.snapshot(), nil
}

// Inherit implements the RPC that adds a part of the hand-over of a node that
// shuts down.
func (c *Collector) Inherit(_ context.Context, in *Legacy) (*Inherited, error) {
	if err := c.burn.merge(in); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &Inherited{}, nil
}

// HandOver sends the figures of this node, which is shutting down, to another
// live node. It doesn't retry: a part whose reply was lost may have been
// applied, and missing figures do less harm than figures counted twice.
func (c *Collector) HandOver(ctx context.Context) error {
	successor, ok := c.successor()
	if !ok {
		return nil // No other node is alive.
	}
	conn, err := c.fleet.Links.Conn(successor)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	client := NewReportsClient(conn)
	for _, part := range c.burn.handOver(c.fleet.Members.Self().Node) {
		if _, err := client.Inherit(ctx, part); err != nil {
			return eris.Wrapf(err, "hand over to %s", successor)
		}
	}
	return nil
}

// successor selects a live node by rendezvous hashing, so that nodes that shut
// down together tend to select different ones.
func (c *Collector) successor() (best tarragondeal.NodeID, ok bool) {
	self := c.fleet.Members.Self().Node
	var highest uint64
	for _, m := range c.fleet.Members.Members() {
		score := xxhash.Sum64String(string(self) + "\x00" + string(m.Node))
		if m.Node != self && m.State == tarragondeal.MemberAlive && (!ok || score > highest) {
			best, highest, ok = m.Node, score, true
		}
	}
	return best, ok
}

// Report collects and merges the measures of all members. It lists nodes that
// fail to answer as missing and covers the rest.
func (c *Collector) Report(ctx context.Context) *Report {
	m := newMergedMeasures()
	self := c.fleet.Members.Self().Node
	_ = m.add(self, c.burn.snapshot()) // A node's own measures are well formed.
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(collectConcurrency)
	for _, member := range c.fleet.Members.Members() {
		if member.Node == self {
			continue
		}
		p.Go(func() {
			got, err := c.collectFrom(ctx, member.Node)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				err = m.add(member.Node, got)
			}
			if err != nil {
				m.missing = append(m.missing, member.Node)
			}
		})
	}
	p.Wait()
	return m.report(c.burn.Config.View(), c.fleet.Servers(), c.burn.Clock.Wall())
}

func (c *Collector) collectFrom(ctx context.Context, n tarragondeal.NodeID) (*Measures, error) {
	conn, err := c.fleet.Links.Conn(n)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	return NewReportsClient(conn).Collect(ctx, &CollectRequest{})
}

// errHandedOver is returned by a node that is itself shutting down.
var errHandedOver = errors.New("this node has handed its own measures over")

// errMalformed reports a message with an unexpected structure, for example from
// another version of the program.
var errMalformed = errors.New("the measures are not of the form that this node knows")
