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

// clock is set by the test.
type clock struct{ now time.Duration }

func (c *clock) Now() tarragondeal.Instant { return tarragondeal.Instant(c.now) }
func (c *clock) Wall() time.Time           { return time.Unix(3600, 0).UTC().Add(c.now) }

// fleet is some meters and the copies that they keep for each other.
type fleet struct {
	clock   *clock
	store   *tdmemstore.Store
	copies  []*Copies
	meters  []*Meter
	dead    []bool
	losing  bool // Calls between nodes take effect and fail.
	severed bool // Calls between nodes fail.
}

func (f *fleet) Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	for k := range f.meters {
		if name(k) == n && !f.dead[k] {
			return conn{f: f, to: k}, nil
		}
	}
	return nil, fmt.Errorf("node %s is gone", n)
}

type conn struct {
	grpc.ClientConnInterface
	f  *fleet
	to int
}

func (c conn) Invoke(ctx context.Context, _ string, in, _ any, _ ...grpc.CallOption) error {
	if c.f.severed {
		return fmt.Errorf("severed")
	}
	_, err := c.f.copies[c.to].Keep(ctx, in.(*KeepRequest))
	if c.f.losing {
		return fmt.Errorf("answer lost")
	}
	return err
}

func name(k int) tarragondeal.NodeID { return tarragondeal.NodeID(fmt.Sprint("node", k)) }

type members struct {
	f    *fleet
	self int
}

func (m members) Self() tarragondeal.Member {
	return tarragondeal.Member{Node: name(m.self), DataCentre: fmt.Sprint(m.self % 2)}
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

// count is Add without its wait.
func (m *Meter) count(window int64, k LineKey, f Figures) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.add(window, k, f)
}

// total sums what the store has, generation by generation.
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

// close closes every source as the bill does.
func (f *fleet) close(ctx context.Context) {
	planted := f.store.Fault
	f.store.Fault = nil
	defer func() { f.store.Fault = planted }()
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
