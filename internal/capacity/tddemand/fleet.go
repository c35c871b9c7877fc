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
	readAtOnce  = 16
	readTimeout = 2 * time.Second
	// maxCount bounds each figure that one node can tell.
	maxCount = 1_000_000_000
)

// Links reach other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Fleet reads the demand at all nodes.
type Fleet struct {
	own     *Counter
	members tarragondeal.Members
	links   Links
}

// NewFleet returns a reader at the node that counts with own.
func NewFleet(own *Counter, m tarragondeal.Members, l Links) *Fleet {
	return &Fleet{own: own, members: m, links: l}
}

// Demand sums what all live nodes tell. It fails when one doesn't, since a
// sum without it would look like less demand.
func (f *Fleet) Demand(ctx context.Context) ([]tarragondeal.Demand, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	self := f.members.Self().Node
	p := pool.NewWithResults[[]*Line]().WithErrors().WithMaxGoroutines(readAtOnce)
	for _, m := range f.members.Members() {
		p.Go(func() ([]*Line, error) { return f.read(ctx, self, m.Node) })
	}
	all, err := p.Wait()
	if err != nil {
		return nil, err
	}
	sums := make(map[place]*tarragondeal.Demand)
	var order []place
	for _, lines := range all {
		for _, l := range lines {
			at := place{l.GetPool(), l.GetDataCentre()}
			if sums[at] == nil {
				sums[at] = &tarragondeal.Demand{Pool: at.pool, DataCentre: at.dataCentre}
				order = append(order, at)
			}
			add(sums[at], l)
		}
	}
	out := make([]tarragondeal.Demand, 0, len(order))
	for _, at := range order {
		out = append(out, *sums[at])
	}
	return out, nil
}

func add(d *tarragondeal.Demand, l *Line) {
	d.Running += int(l.GetRunning())
	d.Queued += int(l.GetQueued())
	d.Promised += int(l.GetPromised())
	d.Shed += int(l.GetShed())
}

// check returns an error when a figure can't be one of a node.
func check(lines []*Line) error {
	for _, l := range lines {
		low := min(l.GetRunning(), l.GetQueued(), l.GetPromised(), l.GetShed())
		high := max(l.GetRunning(), l.GetQueued(), l.GetPromised(), l.GetShed())
		if low < 0 || high > maxCount {
			return eris.New("figures that no node can have")
		}
	}
	return nil
}

func (f *Fleet) read(ctx context.Context, self, n tarragondeal.NodeID) ([]*Line, error) {
	if n == self {
		a, err := f.own.Read(ctx, &ReadRequest{})
		return a.GetLines(), err
	}
	conn, err := f.links.Conn(n)
	if err != nil {
		return nil, err
	}
	a, err := NewDemandsClient(conn).Read(ctx, &ReadRequest{})
	if err == nil {
		err = check(a.GetLines())
	}
	return a.GetLines(), eris.Wrapf(err, "demand at node %s", n)
}
