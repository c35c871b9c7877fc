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

// one is the membership of a fleet of one node.
type one struct{ self tarragondeal.Member }

func (o one) Self() tarragondeal.Member      { return o.self }
func (o one) Members() []tarragondeal.Member { return []tarragondeal.Member{o.self} }
func (o one) Changed() <-chan struct{}       { return nil }

// holder is a process that waits for the lease "orders".
type holder struct {
	holding atomic.Int32
	terms   chan tarragondeal.Held
	leases  *tdlease.Leases
	stop    func()
}

const shortTTL = 900 * time.Millisecond

func hold(url string, node string) *holder { return holdFor(url, node, shortTTL) }

func holdFor(url, node string, ttl time.Duration) *holder {
	clock := tdclock.New()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	kv := tdkv.New(url, client, clock)
	l := tdlease.New(kv, clock, one{tarragondeal.Member{Node: tarragondeal.NodeID(node), Incarnation: 3}},
		tdlease.Options{TTL: ttl, Margin: 100 * time.Millisecond})
	h := &holder{terms: make(chan tarragondeal.Held, 16), leases: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- l.Hold(ctx, "orders", func(ctx context.Context, held tarragondeal.Held) error {
			h.holding.Add(1)
			defer h.holding.Add(-1)
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

	It("passes on when its holder stops, in order", func() {
		a := hold(url, "node1")
		var first, second tarragondeal.Held
		Eventually(a.terms, "20s").Should(Receive(&first))
		Expect(first.Check(time.Millisecond)).To(Succeed())
		b := hold(url, "node2")
		Consistently(func() int32 { return b.holding.Load() }, "2s").Should(BeZero())
		a.stop()
		Expect(first.Check(0)).To(BeAssignableToTypeOf(&tarragondeal.LeaseError{}))
		Eventually(b.terms, "20s").Should(Receive(&second))
		Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		Expect(second.Predecessor()).To(BeEmpty())
	})

	It("is tried for at once when it is freed", func() {
		const longTTL = 10 * time.Minute // Without being told a process waits for minutes.
		a := holdFor(url, "node1", longTTL)
		var first, second tarragondeal.Held
		Eventually(a.terms, "20s").Should(Receive(&first))
		b := holdFor(url, "node2", longTTL)
		Consistently(func() int32 { return b.holding.Load() }, "500ms").Should(BeZero())
		a.stop()
		b.leases.Freed("orders")
		Eventually(b.terms, "20s").Should(Receive(&second))
		Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
	})

	It("ends with the duty while the service is away, and names the holder to its successor", func() {
		a := hold(url, "node1")
		var first, second tarragondeal.Held
		Eventually(a.terms, "20s").Should(Receive(&first))
		platform.SetOutage(true)
		Eventually(func() int32 { return a.holding.Load() }, "20s", "5ms").Should(BeZero())
		Expect(first.Check(0)).To(BeAssignableToTypeOf(&tarragondeal.LeaseError{}))
		a.stop()
		platform.SetOutage(false)
		b := hold(url, "node2")
		Eventually(b.terms, "20s").Should(Receive(&second))
		Expect(second.Fence()).To(BeNumerically(">", first.Fence()))
		Expect(second.Predecessor()).To(Equal("node1/3"))
	})

	It("is held by one of two while answers are lost", func() {
		platform.LoseAnswers(2)
		a, b := hold(url, "node1"), hold(url, "node2")
		Eventually(func() int32 { return a.holding.Load() + b.holding.Load() }, "20s").Should(Equal(int32(1)))
		Consistently(func() int32 { return a.holding.Load() + b.holding.Load() }, "3s", "1ms").Should(BeNumerically("<=", 1))
	})
})
