package tdlease_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/platform/tdkv"
	"tarragondeal/internal/standin/tdplatform"
)

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Lease")
}

// singleNode is the membership of a fleet of one node.
type singleNode struct{ self tarragondeal.Member }

func (s singleNode) Self() tarragondeal.Member      { return s.self }
func (s singleNode) Members() []tarragondeal.Member { return []tarragondeal.Member{s.self} }
func (s singleNode) Changed() <-chan struct{}       { return nil }

// holder is a process that holds the lease "orders" whenever it can.
type holder struct {
	active atomic.Int32
	terms  chan tarragondeal.Held
	leases *tdlease.Leases
	stop   func()
}

const shortTTL = 900 * time.Millisecond

func startHolder(url string, node string) *holder { return startHolderWithTTL(url, node, shortTTL) }

func startHolderWithTTL(url, node string, ttl time.Duration) *holder {
	clock := tdclock.New()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	kv := tdkv.New(url, client, clock)
	l := tdlease.New(kv, clock, singleNode{tarragondeal.Member{Node: tarragondeal.NodeID(node), Incarnation: 3}},
		tdlease.Options{TTL: ttl, Margin: 100 * time.Millisecond})
	h := &holder{terms: make(chan tarragondeal.Held, 16), leases: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- l.Hold(ctx, "orders", func(ctx context.Context, held tarragondeal.Held) error {
			h.active.Add(1)
			defer h.active.Add(-1)
			h.terms <- held
			<-ctx.Done()
			return nil
		})
	}()
	stopped := false
	h.stop = func() {
		if !stopped {
			stopped = true
			cancel()
			Expect(<-done).To(Succeed())
		}
	}
	DeferCleanup(h.stop)
	return h
}

var _ = Describe("a lease", func() {
	var (
		platform *tdplatform.Platform
		url      string
	)

	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() {
			Eventually(func() error { return goleak.Find(before) }, "20s").Should(Succeed())
		})
		platform = tdplatform.New(tdplatform.Options{})
		srv := httptest.NewServer(platform.Handler())
		DeferCleanup(srv.Close)
		url = srv.URL
	})

	It("passes to another node without a predecessor when its holder stops", func() {
		a := startHolder(url, "node1")
		var first, second tarragondeal.Held
		Eventually(a.terms, "20s").Should(Receive(&first))
		Expect(first.Check(time.Millisecond)).To(Succeed())
		b := startHolder(url, "node2")
		Consistently(func() int32 { return b.active.Load() }, "2s").Should(BeZero())
		a.stop()
		Expect(first.Check(0)).To(BeAssignableToTypeOf(&tarragondeal.LeaseError{}))
		Eventually(b.terms, "20s").Should(Receive(&second))
		Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		Expect(second.Predecessor()).To(BeEmpty())
	})

	It("is acquired at once after a notification that it is available", func() {
		const longTTL = 10 * time.Minute // Without a notification the process waits for minutes.
		a := startHolderWithTTL(url, "node1", longTTL)
		var first, second tarragondeal.Held
		Eventually(a.terms, "20s").Should(Receive(&first))
		b := startHolderWithTTL(url, "node2", longTTL)
		Consistently(func() int32 { return b.active.Load() }, "500ms").Should(BeZero())
		a.stop()
		b.leases.NotifyAvailable("orders")
		Eventually(b.terms, "20s").Should(Receive(&second))
		Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
	})

	It("ends with its duty during an outage of the store and names the holder as predecessor", func() {
		a := startHolder(url, "node1")
		var first, second tarragondeal.Held
		Eventually(a.terms, "20s").Should(Receive(&first))
		platform.SetOutage(true)
		Eventually(func() int32 { return a.active.Load() }, "20s", "5ms").Should(BeZero())
		Expect(first.Check(0)).To(BeAssignableToTypeOf(&tarragondeal.LeaseError{}))
		a.stop()
		platform.SetOutage(false)
		b := startHolder(url, "node2")
		Eventually(b.terms, "20s").Should(Receive(&second))
		Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		Expect(second.Predecessor()).To(Equal("node1/3"))
	})

	It("has one holder while replies are lost", func() {
		platform.LoseAnswers(2)
		a, b := startHolder(url, "node1"), startHolder(url, "node2")
		Eventually(func() int32 { return a.active.Load() + b.active.Load() }, "20s").Should(Equal(int32(1)))
		Consistently(func() int32 { return a.active.Load() + b.active.Load() }, "3s", "1ms").Should(BeNumerically("<=", 1))
	})
})
