package tdburn

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tarragondeal"
)

var _ = ginkgo.Describe("a hand-over", func() {
	ginkgo.It("moves all figures to another node", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			// The clocks differ by a multiple of every bucket width, so that the
			// bucket boundaries of both coincide.
			a, b, both := &fixedClock{}, &fixedClock{now: tarragondeal.Instant(pairCoarseWidth * 7)}, &fixedClock{}
			leaving, successor, one := newBurn(a), newBurn(b), newBurn(both)
			for range rapid.IntRange(1, 20).Draw(t, "count") {
				step := tarragondeal.Instant(rapid.Int64Range(0, int64(2*time.Hour)).Draw(t, "step"))
				a.now, b.now, both.now = a.now+step, b.now+step, both.now+step
				s := sample(rapid.SampledFrom([]string{"bench", "entry"}).Draw(t, "class"),
					time.Duration(rapid.Int64Range(1e6, 1e9).Draw(t, "first")), time.Duration(rapid.Int64Range(1e6, 2e10).Draw(t, "total")))
				s.Failed = rapid.Bool().Draw(t, "failed")
				one.Observe(s)
				one.Waste("retry", s.Class, 5)
				n := rapid.SampledFrom([]*Recorder{leaving, successor}).Draw(t, "node")
				n.Observe(s)
				n.Waste("retry", s.Class, 5)
			}
			for _, part := range leaving.handOver("leaving") {
				wire, err := proto.Marshal(part)
				Expect(err).NotTo(HaveOccurred())
				in := &Legacy{}
				Expect(proto.Unmarshal(wire, in)).To(Succeed())
				Expect(successor.merge(in)).To(Succeed())
			}
			later := tarragondeal.Instant(rapid.Int64Range(0, int64(10*time.Hour)).Draw(t, "later"))
			b.now, both.now = b.now+later, both.now+later
			got, want := newMergedMeasures(), newMergedMeasures()
			Expect(got.add("leaving", leaving.snapshot())).To(Succeed())
			Expect(got.add("successor", successor.snapshot())).To(Succeed())
			Expect(want.add("one", one.snapshot())).To(Succeed())
			x, y := got.report(config().view, nil, time.Time{}), want.report(config().view, nil, time.Time{})
			Expect(x.Classes).To(Equal(y.Classes))
			Expect(x.Worst).To(Equal(y.Worst))
			Expect(x.Waste).To(Equal(y.Waste))
		})
	})

	ginkgo.It("is split into parts, and counts evicted pairs together", func() {
		leaving, successor := newBurn(&fixedClock{}), newBurn(&fixedClock{})
		for n := range maxPairs {
			s := sample("bench", time.Millisecond, time.Second)
			s.Workspace = fmt.Sprintf("ws%d", n)
			leaving.Observe(s)
			s.Workspace = fmt.Sprintf("other%d", n)
			successor.Observe(s)
		}
		parts := leaving.handOver("leaving")
		for _, part := range parts {
			Expect(proto.Size(part)).To(BeNumerically("<", 1<<20))
			Expect(successor.merge(part)).To(Succeed())
		}
		Expect(leaving.handOver("leaving")).To(BeEmpty())
		m := newMergedMeasures()
		Expect(m.add("successor", successor.snapshot())).To(Succeed())
		Expect(m.classes["bench"].windows[3].good).To(BeEquivalentTo(2 * maxPairs))
		Expect(m.pairs).To(HaveLen(maxPairs + 1))
		Expect(m.pairs[pairKey{Other, "bench"}].good[2]).To(BeEquivalentTo(maxPairs))
	})

	ginkgo.It("is rejected as a whole if it is malformed", func() {
		leaving, successor := newBurn(&fixedClock{}), newBurn(&fixedClock{})
		leaving.Observe(sample("bench", time.Millisecond, time.Second))
		part := leaving.handOver("leaving")[0]
		part.Classes[0].FineLatency[0].Measures[0].Step[0] = 1 << 20
		Expect(successor.merge(part)).To(MatchError(errMalformed))
		Expect(successor.snapshot().Classes).To(BeEmpty())
	})
})
