package tdburn

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"google.golang.org/grpc"

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

// errMalformed is an answer that another version of the program gave.
var errMalformed = errors.New("the measures are not of the form that this node knows")
