package tddemand

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/grpc"

	"tarragondeal"
)

const (
	maxConcurrentReads = 16
	readTimeout        = 2 * time.Second
	// maxCount bounds each figure that one node may report.
	maxCount = 1_000_000_000
)

// Links provides connections to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Fleet reads the demand at all nodes.
type Fleet struct {
	counter *Counter
	members tarragondeal.Members
	links   Links
}

// NewFleet returns a reader at the node whose counter is own.
func NewFleet(own *Counter, m tarragondeal.Members, l Links) *Fleet {
	return &Fleet{counter: own, members: m, links: l}
}

// Demand sums the demand of all live nodes. It fails if one of them does not
// answer, since the sum would be too low without it.
func (f *Fleet) Demand(ctx context.Context) ([]tarragondeal.Demand, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	self := f.members.Self().Node
	p := pool.NewWithResults[[]*Line]().WithErrors().WithMaxGoroutines(maxConcurrentReads)
	for _, m := range f.members.Members() {
		p.Go(func() ([]*Line, error) { return f.read(ctx, self, m.Node) })
	}
	all, err := p.Wait()
	if err != nil {
		return nil, err
	}
	sums := make(map[poolKey]*tarragondeal.Demand)
	var order []poolKey
	for _, lines := range all {
		for _, l := range lines {
			key := poolKey{l.GetPool(), l.GetDataCentre()}
			if sums[key] == nil {
				sums[key] = &tarragondeal.Demand{Pool: key.pool, DataCentre: key.dataCentre}
				order = append(order, key)
			}
			add(sums[key], l)
		}
	}
	out := make([]tarragondeal.Demand, 0, len(order))
	for _, key := range order {
		out = append(out, *sums[key])
	}
	return out, nil
}

func add(d *tarragondeal.Demand, l *Line) {
	d.Running += int(l.GetRunning())
	d.Queued += int(l.GetQueued())
	d.WithTarget += int(l.GetPromised())
	d.Shed += int(l.GetShed())
}

// validate returns an error if a figure is outside of the range that a node can
// count.
func validate(lines []*Line) error {
	for _, l := range lines {
		low := min(l.GetRunning(), l.GetQueued(), l.GetPromised(), l.GetShed())
		high := max(l.GetRunning(), l.GetQueued(), l.GetPromised(), l.GetShed())
		if low < 0 || high > maxCount {
			return eris.New("demand figures out of range")
		}
	}
	return nil
}

func (f *Fleet) read(ctx context.Context, self, n tarragondeal.NodeID) ([]*Line, error) {
	if n == self {
		a, err := f.counter.Read(ctx, &ReadRequest{})
		return a.GetLines(), err
	}
	conn, err := f.links.Conn(n)
	if err != nil {
		return nil, err
	}
	a, err := NewDemandsClient(conn).Read(ctx, &ReadRequest{})
	if err == nil {
		err = validate(a.GetLines())
	}
	return a.GetLines(), eris.Wrapf(err, "demand at node %s", n)
}
