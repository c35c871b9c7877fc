package tdchoose_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdchoose"
	"tarragondeal/internal/dispatch/tdprefix"
)

func TestChoose(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Choose")
}

const now = tarragondeal.Instant(time.Hour)

// table returns a table of n servers that aren't reclaimable in duluth and m
// reclaimable ones in erie, all idle.
func table(n, m int) *tdchoose.Table {
	t := tdchoose.New()
	var servers []tarragondeal.Server
	for k := range n {
		servers = append(servers, tarragondeal.Server{ID: id("firm", k), Pool: "firm", DataCentre: "duluth"})
	}
	for k := range m {
		servers = append(servers, tarragondeal.Server{ID: id("cheap", k), Pool: "cheap", DataCentre: "erie"})
	}
	t.Update(servers, func(p string) tdchoose.Pool { return tdchoose.Pool{Slots: 8, Reclaimable: p == "cheap"} })
	for _, s := range servers {
		t.Hint(now, tdchoose.Hint{Server: s.ID, Free: 8, Capacity: 8})
	}
	return t
}

func id(pool string, k int) tarragondeal.ServerID {
	return tarragondeal.ServerID(fmt.Sprintf("%s%d", pool, k))
}

func choose(t *tdchoose.Table, q tdchoose.Query) []tarragondeal.ServerID {
	if q.Ask == nil {
		q.Ask = &tarragondeal.Ask{}
	}
	q.Ask.Pools, q.Ask.DataCentres = []string{"firm", "cheap"}, []string{"duluth", "erie"}
	var out [3]tdchoose.Choice
	var ids []tarragondeal.ServerID
	for _, c := range out[:t.Choose(now, &q, out[:])] {
		ids = append(ids, c.Server.ID)
	}
	return ids
}

func cached(on tarragondeal.ServerID, prefixes []uint64) tdprefix.Match {
	h, err := tdprefix.New(10)
	Expect(err).NotTo(HaveOccurred())
	h.Add(on, prefixes)
	return h.Match(prefixes)
}

var _ = Describe("a choice", func() {
	It("prefers free servers, and skips those that were tried or are down", func() {
		t := table(4, 0)
		t.Hint(now, tdchoose.Hint{Server: "firm0", Capacity: 8, Running: 8, Wait: time.Second})
		t.Hint(now, tdchoose.Hint{Server: "firm1", Unusable: true})
		Expect(choose(t, tdchoose.Query{Tried: []tarragondeal.ServerID{"firm2"}})).To(Equal([]tarragondeal.ServerID{"firm3", "firm0"}))
	})

	It("prefers fast servers", func() {
		t := table(3, 0)
		t.SetFactor("firm0", 0.3)
		t.SetFactor("firm1", 0.3)
		Expect(choose(t, tdchoose.Query{})[0]).To(Equal(tarragondeal.ServerID("firm2")))
		Expect(choose(t, tdchoose.Query{})).To(HaveLen(3))
		Expect(choose(t, tdchoose.Query{Urgent: true})).To(Equal([]tarragondeal.ServerID{"firm2"}))
	})

	It("lets an urgent request use a straggler when no other server is free", func() {
		t := table(2, 0)
		t.SetFactor("firm0", 0.3)
		t.Hint(now, tdchoose.Hint{Server: "firm1", Free: 0, Capacity: 8, Running: 8})
		Expect(choose(t, tdchoose.Query{Urgent: true})).To(ConsistOf(tarragondeal.ServerID("firm0"), tarragondeal.ServerID("firm1")))
		t.Hint(now, tdchoose.Hint{Server: "firm1", Free: 1, Capacity: 8, Running: 7})
		Expect(choose(t, tdchoose.Query{Urgent: true})).To(Equal([]tarragondeal.ServerID{"firm1"}))
	})

	It("follows a cached prefix, but not to a hot server", func() {
		t := table(4, 0)
		match := cached("firm3", []uint64{1, 2})
		Expect(choose(t, tdchoose.Query{Match: match})[0]).To(Equal(tarragondeal.ServerID("firm3")))
		t.Hint(now, tdchoose.Hint{Server: "firm3", Free: 2, Capacity: 8, Running: 6})
		Expect(choose(t, tdchoose.Query{Match: match})[0]).NotTo(Equal(tarragondeal.ServerID("firm3")))
	})

	It("chooses the same server at every node for a prefix that isn't cached", func() {
		first := choose(table(20, 0), tdchoose.Query{Ask: &tarragondeal.Ask{Prefix: []uint64{99}}})[0]
		for range 10 {
			Expect(choose(table(20, 0), tdchoose.Query{Ask: &tarragondeal.Ask{Prefix: []uint64{99}}})[0]).To(Equal(first))
		}
	})

	It("gives reclaimable servers only promised requests that the other servers could take over", func() {
		t := table(1, 1)
		Expect(choose(t, tdchoose.Query{Promised: true})).To(HaveLen(2))
		t.Hint(now, tdchoose.Hint{Server: "firm0", Free: 2, Capacity: 8, Running: 6})
		t.Hint(now, tdchoose.Hint{Server: "cheap0", Free: 6, Capacity: 8, Running: 2, Promised: 2})
		Expect(choose(t, tdchoose.Query{Promised: true})).To(Equal([]tarragondeal.ServerID{"firm0"}))
		Expect(choose(t, tdchoose.Query{})).To(HaveLen(2))
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 600} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			t := table(n/2, n/2)
			q := tdchoose.Query{Promised: true, Ask: &tarragondeal.Ask{
				Pools: []string{"firm", "cheap"}, DataCentres: []string{"duluth", "erie"}, Prefix: []uint64{5, 6, 7},
			}}
			var out [3]tdchoose.Choice
			b.ReportAllocs()
			for b.Loop() {
				t.Choose(now, &q, out[:])
			}
		})
	}
}
