package tdusage

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"tarragondeal"
	"tarragondeal/internal/test/tdmemstore"
)

// clock is a fake clock.
type clock struct{ now time.Duration }

func (c *clock) Now() tarragondeal.Instant { return tarragondeal.Instant(c.now) }
func (c *clock) Wall() time.Time           { return time.Unix(3600, 0).UTC().Add(c.now) }

// fleet is a set of nodes in memory, each with a meter and copies.
type fleet struct {
	clock        *clock
	store        *tdmemstore.Store
	copies       []*Copies
	meters       []*Meter
	dead         []bool
	loseReplies  bool // Calls between nodes are handled, but their replies are lost.
	disconnected bool // Calls between nodes fail without being handled.
}

func (f *fleet) Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	for k := range f.meters {
		if nodeName(k) == n && !f.dead[k] {
			return conn{f: f, to: k}, nil
		}
	}
	return nil, fmt.Errorf("node %s is down", n)
}

type conn struct {
	grpc.ClientConnInterface
	f  *fleet
	to int
}

func (c conn) Invoke(ctx context.Context, _ string, in, _ any, _ ...grpc.CallOption) error {
	if c.f.disconnected {
		return fmt.Errorf("disconnected")
	}
	_, err := c.f.copies[c.to].Keep(ctx, in.(*KeepRequest))
	if c.f.loseReplies {
		return fmt.Errorf("reply lost")
	}
	return err
}

func nodeName(k int) tarragondeal.NodeID { return tarragondeal.NodeID(fmt.Sprint("node", k)) }

type members struct {
	f    *fleet
	self int
}

func (m members) Self() tarragondeal.Member {
	return tarragondeal.Member{Node: nodeName(m.self), DataCentre: fmt.Sprint(m.self % 2)}
}

func (m members) Members() []tarragondeal.Member {
	var out []tarragondeal.Member
	for k := range m.f.dead {
		if !m.f.dead[k] {
			out = append(out, members{m.f, k}.Self())
		}
	}
	return out
}

func (m members) Changed() <-chan struct{} { return nil }

const takeOver = 10 * time.Second

func newFleet(nodes int) *fleet {
	f := &fleet{clock: &clock{}, store: tdmemstore.New(), dead: make([]bool, nodes)}
	for k := range nodes {
		f.copies = append(f.copies, NewCopies(f.store, f.clock, zerolog.Nop(), takeOver))
		f.meters = append(f.meters, New(Deps{
			Store: f.store, Members: members{f, k}, Links: f, Clock: f.clock, Log: zerolog.Nop(), Scope: tally.NoopScope,
		}, Config{Window: time.Minute, FlushEvery: time.Second, AckWait: time.Second}))
	}
	return f
}

// count does what Add does, without waiting for a second copy.
func (m *Meter) count(window int64, k LineKey, c Counts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.buffer.add(window, k, c)
}

// total returns what the store would bill: for each source the sum of the
// differences between its generations.
func (f *fleet) total(ctx context.Context) Lines {
	out := make(Lines)
	entries, err := f.store.List(ctx, Prefix, "", 100000)
	Expect(err).NotTo(HaveOccurred())
	last := map[SourceID]Lines{}
	for _, e := range entries {
		id, _, err := ParseKey(e.Key)
		Expect(err).NotTo(HaveOccurred())
		s, err := Decode(e.Value)
		Expect(err).NotTo(HaveOccurred())
		out.Plus(s.Lines.Minus(last[id]))
		last[id] = s.Lines
	}
	return out
}

// closeSources closes every generation in the store, as billing does.
func (f *fleet) closeSources(ctx context.Context) {
	saved := f.store.Fault
	f.store.Fault = nil
	defer func() { f.store.Fault = saved }()
	entries, err := f.store.List(ctx, Prefix, "", 100000)
	Expect(err).NotTo(HaveOccurred())
	for _, e := range entries {
		s, err := Decode(e.Value)
		Expect(err).NotTo(HaveOccurred())
		s.Closed = true
		value, err := s.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = f.store.Swap(ctx, e.Key, value, e.Revision)
		Expect(err).NotTo(HaveOccurred())
	}
}
