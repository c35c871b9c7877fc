package tdburn

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Burn")
}

// fixedClock is a clock that the test sets.
type fixedClock struct{ now tarragondeal.Instant }

func (c *fixedClock) Now() tarragondeal.Instant { return c.now }
func (c *fixedClock) Wall() time.Time           { return time.Unix(0, 0).UTC() }

// fixedConfig is a configuration that never changes.
type fixedConfig struct{ view *tarragondeal.View }

func (c fixedConfig) View() *tarragondeal.View { return c.view }
func (fixedConfig) Changed() <-chan struct{}   { return nil }

const ms = tarragondeal.Duration(time.Millisecond)

func config() fixedConfig {
	return fixedConfig{tarragondeal.NewView(1, &tarragondeal.Set{
		RequestClasses: []tarragondeal.RequestClass{
			{Name: "bench", Tier: 1, FirstToken: 330 * ms, BetweenTokens: 30 * ms, Deadline: 10000 * ms, Objective: 0.9},
			{Name: "entry", Tier: 2, Completion: 1000 * ms, Deadline: 10000 * ms},
		},
		ServerPools: []tarragondeal.ServerPool{{Name: "narrator", CostPerHour: 2}, {Name: "spot", CostPerHour: 0.5, Reclaimable: true}},
	})}
}

func newBurn(c *fixedClock) *Recorder { return New(Deps{Config: config(), Clock: c}) }

func sample(class string, first, total time.Duration) tarragondeal.Sample {
	return tarragondeal.Sample{Workspace: "ws", Class: class, FirstToken: first, Total: total}
}

var _ = ginkgo.Describe("a request", func() {
	cases := []struct {
		name string
		s    tarragondeal.Sample
		good bool
	}{
		{"within its targets", tarragondeal.Sample{Class: "bench", FirstToken: 330 * time.Millisecond, BetweenTokens: 30 * time.Millisecond, Total: 10 * time.Second}, true},
		{"with a late first token", tarragondeal.Sample{Class: "bench", FirstToken: 331 * time.Millisecond}, false},
		{"with a long gap", tarragondeal.Sample{Class: "bench", BetweenTokens: 31 * time.Millisecond}, false},
		{"past its deadline", tarragondeal.Sample{Class: "bench", Total: 10001 * time.Millisecond}, false},
		{"to a service, in time", tarragondeal.Sample{Class: "entry", Total: time.Second}, true},
		{"to a service, late", tarragondeal.Sample{Class: "entry", Total: 1001 * time.Millisecond}, false},
		{"refused", tarragondeal.Sample{Class: "entry", Refused: true}, false},
		{"failed", tarragondeal.Sample{Class: "entry", Failed: true}, false},
		{"of a class that was removed", tarragondeal.Sample{Class: "gone", Total: time.Hour}, true},
	}
	for _, tc := range cases {
		ginkgo.It("is counted by its result: "+tc.name, func() {
			b := newBurn(&fixedClock{})
			b.Observe(tc.s)
			m := b.snapshot()
			Expect(m.Classes).To(HaveLen(1))
			for _, w := range m.Classes[0].Windows {
				Expect(w.Good + w.Bad).To(BeEquivalentTo(1))
				Expect(w.Good == 1).To(Equal(tc.good))
			}
		})
	}
})

var _ = ginkgo.Describe("windows", func() {
	ginkgo.It("match a plain list of the samples", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			clock := &fixedClock{now: tarragondeal.Instant(rapid.Int64Range(0, int64(100*time.Hour)).Draw(t, "start"))}
			b := newBurn(clock)
			type seen struct {
				at   tarragondeal.Instant
				good bool
			}
			var all []seen
			for range rapid.IntRange(1, 25).Draw(t, "count") {
				clock.now += tarragondeal.Instant(rapid.Int64Range(0, int64(4*time.Hour)).Draw(t, "step"))
				ok := rapid.Bool().Draw(t, "good")
				s := sample("bench", 100*time.Millisecond, time.Second)
				s.Failed = !ok
				b.Observe(s)
				all = append(all, seen{clock.now, ok})
			}
			m := b.snapshot()
			for k, window := range Windows {
				width := coarseWidth
				if window <= fineSpan {
					width = fineWidth
				}
				from := (int64(clock.now)/int64(width) - int64(window/width) + 1) * int64(width)
				var good, bad int64
				for _, x := range all {
					switch {
					case int64(x.at) < from:
					case x.good:
						good++
					default:
						bad++
					}
				}
				w := m.Classes[0].Windows[k]
				Expect([]int64{w.Good, w.Bad}).To(Equal([]int64{good, bad}), "%s", window)
			}
		})
	})

	ginkgo.It("merge over nodes to the figures of a single node", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			clock := &fixedClock{}
			one, parts := newBurn(clock), []*Recorder{newBurn(clock), newBurn(clock), newBurn(clock)}
			for range rapid.IntRange(1, 20).Draw(t, "count") {
				clock.now += tarragondeal.Instant(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "step"))
				s := sample(rapid.SampledFrom([]string{"bench", "entry"}).Draw(t, "class"),
					time.Duration(rapid.Int64Range(1e6, 1e9).Draw(t, "first")), time.Duration(rapid.Int64Range(1e6, 2e10).Draw(t, "total")))
				s.Workspace = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")
				s.Reclaimable = rapid.Bool().Draw(t, "reclaimable")
				one.Observe(s)
				rapid.SampledFrom(parts).Draw(t, "node").Observe(s)
			}
			want, got := newMergedMeasures(), newMergedMeasures()
			Expect(want.add("n", one.snapshot())).To(Succeed())
			for _, p := range parts {
				// Through the wire format.
				wire, err := proto.Marshal(p.snapshot())
				Expect(err).NotTo(HaveOccurred())
				in := &Measures{}
				Expect(proto.Unmarshal(wire, in)).To(Succeed())
				Expect(got.add("n", in)).To(Succeed())
			}
			a, b := want.report(config().view, nil, clock.Wall()), got.report(config().view, nil, clock.Wall())
			Expect(b.Classes).To(Equal(a.Classes))
			Expect(b.Worst).To(Equal(a.Worst))
			Expect(b.Alerts).To(Equal(a.Alerts))
		})
	})

	ginkgo.It("are bounded, and keep complete figures of the classes", func() {
		clock := &fixedClock{}
		b := newBurn(clock)
		const count = maxPairs + 500
		for n := range count {
			s := sample("bench", time.Millisecond, time.Second)
			s.Workspace = fmt.Sprintf("ws%d", n)
			b.Observe(s)
			b.Waste(fmt.Sprintf("cause%d", n), "bench", 3)
		}
		m := newMergedMeasures()
		Expect(m.add("n", b.snapshot())).To(Succeed())
		Expect(m.pairs).To(HaveLen(maxPairs + 1))
		Expect(m.pairs[pairKey{Other, "bench"}].good[0]).To(BeEquivalentTo(500))
		Expect(m.classes["bench"].windows[0].good).To(BeEquivalentTo(count))
		Expect(len(m.waste)).To(BeNumerically("<=", maxWasteKeys+1))
		Expect(m.waste[wasteKey{Other, Other}].tokens).To(BeEquivalentTo(3 * (count - maxWasteKeys)))
		Expect(m.report(config().view, nil, clock.Wall()).FoldedPairs).To(BeEquivalentTo(500))
	})
})

// links calls functions in place of other nodes.
type links map[tarragondeal.NodeID]func() (*Measures, error)

func (l links) Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	if l[n] == nil {
		return nil, errors.New("no such node")
	}
	return conn{l[n]}, nil
}

type conn struct{ ask func() (*Measures, error) }

func (c conn) Invoke(_ context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	m, err := c.ask()
	if err == nil {
		proto.Merge(reply.(*Measures), m)
	}
	return err
}

func (conn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("not used")
}

// fixedMembers is a membership of four nodes.
type fixedMembers struct{}

func (fixedMembers) Self() tarragondeal.Member { return tarragondeal.Member{Node: "node1"} }
func (m fixedMembers) Members() []tarragondeal.Member {
	return []tarragondeal.Member{m.Self(), {Node: "node2"}, {Node: "node3"}, {Node: "node4"}}
}
func (fixedMembers) Changed() <-chan struct{} { return nil }

var _ = ginkgo.Describe("the report", func() {
	ginkgo.It("lists the nodes that did not answer, and rejects a malformed reply as a whole", func() {
		clock := &fixedClock{}
		own, other := newBurn(clock), newBurn(clock)
		clock.now = tarragondeal.Instant(2 * time.Hour)
		for range 10 {
			own.Observe(sample("bench", 100*time.Millisecond, time.Second))
			other.Observe(sample("bench", 900*time.Millisecond, time.Second))
		}
		c := NewCollector(own, Fleet{
			Members: fixedMembers{},
			Links: links{
				"node2": func() (*Measures, error) { return other.snapshot(), nil },
				"node3": func() (*Measures, error) { return nil, errors.New("gone") },
				"node4": func() (*Measures, error) {
					m := other.snapshot()
					m.Classes[0].Windows[3].Total.Step[0] = 1 << 20
					return m, nil
				},
			},
			Servers: func() []tarragondeal.Server {
				return []tarragondeal.Server{{Pool: "narrator"}, {Pool: "spot"}, {Pool: "spot"}}
			},
		})
		r := c.Report(context.Background())
		Expect(r.Nodes).To(Equal([]tarragondeal.NodeID{"node1", "node2"}))
		Expect(r.Missing).To(Equal([]tarragondeal.NodeID{"node3", "node4"}))
		bench := r.Classes[0]
		Expect(bench.Windows[0].Requests).To(BeEquivalentTo(20))
		Expect(bench.Windows[0].Attainment).To(Equal(0.5))
		Expect(bench.Windows[0].BurnRate).To(BeNumerically("~", 5, 1e-9))
		Expect(bench.BudgetLeft).To(BeNumerically("~", -4, 1e-9))
		// An average of the nodes' percentiles would be about half of this.
		Expect(time.Duration(bench.Windows[1].FirstToken.P99)).To(BeNumerically("~", 900*time.Millisecond, 10*time.Millisecond))
		Expect(r.MeasuredFor).To(Equal(tarragondeal.Duration(2 * time.Hour)))
		Expect(r.Spending).To(Equal(SpendingRate{PerHour: 3, ReclaimablePerHour: 1}))
		Expect(r.Worst).To(HaveLen(1))
	})

	ginkgo.It("lists the worst-served workspace first", func() {
		b := newBurn(&fixedClock{})
		for n := range 40 {
			for _, ws := range []string{"fair", "poor", "few"} {
				s := sample("bench", time.Millisecond, time.Second)
				s.Workspace, s.Failed = ws, ws != "fair" && n%4 == 0
				if ws != "few" || n < minRequests-1 {
					b.Observe(s)
				}
			}
		}
		m := newMergedMeasures()
		Expect(m.add("n", b.snapshot())).To(Succeed())
		worst := m.report(config().view, nil, time.Time{}).Worst
		Expect(worst).To(HaveLen(2))
		Expect(worst[0].Workspace).To(Equal("poor"))
		Expect(worst[0].Windows[0].Attainment).To(Equal(0.75))
	})

	cases := []struct {
		name              string
		objective         float64
		bad               [4]int64 // Of 100 requests in each window.
		page, ticket, few bool
	}{
		{"few bad requests", 0.95, [4]int64{1, 1, 1, 1}, false, false, false},
		{"a fast burn that continues", 0.95, [4]int64{40, 31, 4, 2}, true, false, false},
		{"a fast burn that is over", 0.95, [4]int64{0, 31, 4, 2}, false, false, false},
		{"an insignificant spike", 0.95, [4]int64{100, 10, 2, 1}, false, false, false},
		{"a slow burn", 0.95, [4]int64{6, 6, 6, 6}, false, true, false},
		{"an objective at which the burn rate can't reach the uncapped limit", 0.5, [4]int64{95, 95, 60, 60}, true, true, false},
		{"too few requests", 0.95, [4]int64{100, 100, 100, 100}, false, false, true},
	}
	for _, tc := range cases {
		ginkgo.It("fires the expected alerts: "+tc.name, func() {
			c := ClassReport{Class: "bench", Objective: tc.objective}
			for k, bad := range tc.bad {
				requests := int64(100)
				if tc.few {
					requests = 19
				}
				c.Windows = append(c.Windows, WindowReport{Window: tarragondeal.Duration(Windows[k]), Requests: requests, BurnRate: burnRate(100-bad, bad, tc.objective)})
			}
			var page, ticket bool
			for _, a := range alerts(&c) {
				page = page || a.Severity == SeverityPage
				ticket = ticket || a.Severity == SeverityTicket
			}
			Expect(page).To(Equal(tc.page))
			Expect(ticket).To(Equal(tc.ticket))
		})
	}
})
