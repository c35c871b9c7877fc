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
	// collectTimeout bounds how long one node may take to answer.
	collectTimeout = 5 * time.Second
	// collectAtOnce is how many nodes are asked at a time.
	collectAtOnce = 16
)

// Links are the connections to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Fleet is where the rest of the report comes from.
type Fleet struct {
	Members tarragondeal.Members
	Links   Links
	// Servers returns the last known backend servers.
	Servers func() []tarragondeal.Server
}

// Collector merges the measures of all nodes.
type Collector struct {
	UnimplementedReportsServer
	burn  *Burn
	fleet Fleet
}

// NewCollector returns a collector beside a node's own measures.
func NewCollector(b *Burn, f Fleet) *Collector { return &Collector{burn: b, fleet: f} }

// Register serves this node's measures to the others.
func (c *Collector) Register(r grpc.ServiceRegistrar) { RegisterReportsServer(r, c) }

// Collect returns this node's measures.
func (c *Collector) Collect(context.Context, *CollectRequest) (*Measures, error) {
	return c.burn.measures(), nil
}

// Inherit takes over what a node that stops has measured.
func (c *Collector) Inherit(_ context.Context, in *Legacy) (*Inherited, error) {
	if err := c.burn.inherit(in); err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	return &Inherited{}, nil
}

// HandOver gives what this node has measured to another live node, because
// this one stops. It tries once: a part whose answer is lost may have
// arrived, and figures that are missing do less harm than figures that count
// twice.
func (c *Collector) HandOver(ctx context.Context) error {
	heir, ok := c.heir()
	if !ok {
		return nil // There is no other node that stays.
	}
	conn, err := c.fleet.Links.Conn(heir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	client := NewReportsClient(conn)
	for _, part := range c.burn.legacy(c.fleet.Members.Self().Node) {
		if _, err := client.Inherit(ctx, part); err != nil {
			return eris.Wrapf(err, "hand over to %s", heir)
		}
	}
	return nil
}

// heir chooses among the nodes that stay, so that nodes that stop together
// choose different ones.
func (c *Collector) heir() (best tarragondeal.NodeID, ok bool) {
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

// Report asks all live nodes for their measures. Nodes that don't answer
// are named in the report, whose figures are those of the rest.
func (c *Collector) Report(ctx context.Context) *Report {
	m := newMerged()
	self := c.fleet.Members.Self().Node
	_ = m.add(self, c.burn.measures()) // This node's own are well formed.
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(collectAtOnce)
	for _, member := range c.fleet.Members.Members() {
		if member.Node == self {
			continue
		}
		p.Go(func() {
			got, err := c.ask(ctx, member.Node)
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

func (c *Collector) ask(ctx context.Context, n tarragondeal.NodeID) (*Measures, error) {
	conn, err := c.fleet.Links.Conn(n)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	return NewReportsClient(conn).Collect(ctx, &CollectRequest{})
}

// errLeft is a node that is itself about to stop.
var errLeft = errors.New("this node has handed its own measures over")

// errMalformed is an answer that another version of the program gave.
var errMalformed = errors.New("the measures are not of the form that this node knows")
