package account_test

import (
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/standin/tdplatform"
	"tarragondeal/internal/test/tdtest"
)

// write is the sender and the fencing token of a write that the platform
// accepted.
type write struct {
	sender string
	fence  uint64
}

// orders returns the accepted orders in order of arrival.
func orders(p *tdplatform.Platform) []write {
	var out []write
	for _, o := range p.Recorded().Orders {
		if o.Accepted {
			out = append(out, write{o.Order.Sender, o.Order.Fence})
		}
	}
	return out
}

// reports returns the accepted usage reports in order of arrival.
func reports(p *tdplatform.Platform) []write {
	var out []write
	for _, u := range p.Recorded().Usage {
		if u.Accepted {
			out = append(out, write{string(u.Report.Sender), u.Report.Fence})
		}
	}
	return out
}

// senders returns the senders, with consecutive duplicates removed.
func senders(all []write) []string {
	var out []string
	for _, s := range all {
		out = append(out, s.sender)
	}
	return slices.Compact(out)
}

// expectNoInterleaving fails unless fencing tokens never decrease and each has
// one sender.
func expectNoInterleaving(all []write) {
	Expect(slices.IsSortedFunc(all, func(a, b write) int { return int(a.fence) - int(b.fence) })).To(BeTrue(), "%v", all)
	byFence := make(map[uint64]string)
	for _, s := range all {
		if byFence[s.fence] != "" {
			Expect(s.sender).To(Equal(byFence[s.fence]))
		}
		byFence[s.fence] = s.sender
	}
}

// holder returns the node that holds a lease according to the store.
func (s *site) holder(lease string) string {
	_, text, _ := strings.Cut(s.storedValue("lease/"+lease+"/holder"), `"holder":"`)
	name, _, _ := strings.Cut(text, "/")
	return name
}

// pauseHolder pauses the node that holds the lease and sent last, and waits until
// another holds the lease. It returns the paused node.
func (s *site) pauseHolder(lease string, sent func() []write) *tdtest.Node {
	var name string
	Eventually(func() bool {
		all := sent()
		name = s.holder(lease)
		return len(all) > 0 && all[len(all)-1].sender == name
	}, "40s", "50ms").Should(BeTrue())
	old := s.node(name)
	old.Pause()
	Eventually(func() string { return s.holder(lease) }, "40s", "50ms").ShouldNot(Or(Equal(old.Name), BeEmpty()))
	return old
}

var _ = Describe("the duty that orders servers", func() {
	It("orders more servers when requests queue, and the new ones serve", func() {
		s := start(2, tdplatform.Options{}, "-orders.platformChecksFencing", "-orders.upEvery", "300ms", "-orders.startsPerMinute", "0")
		c := &callers{}
		c.stop = make(chan struct{})
		for k := range 40 {
			c.wg.Go(func() { c.run(s, s.nodes[k%2], k) })
		}
		defer func() { close(c.stop); c.wg.Wait() }()
		Eventually(func() int {
			most := 0
			for _, o := range s.cluster.Platform.Recorded().Orders {
				most = max(most, o.Order.Want)
			}
			return most
		}, "40s", "50ms").Should(BeNumerically(">=", 3))
		Eventually(func() int {
			served := 0
			for _, server := range s.cluster.All() {
				if server.Engine != nil && len(server.Engine.Seen()) > 0 {
					served++
				}
			}
			return served
		}, "40s", "50ms").Should(BeNumerically(">=", 3))
	})
})

var _ = Describe("two nodes that both assume they hold a duty", func() {
	type duty struct {
		lease string
		sent  func(*tdplatform.Platform) []write
	}
	duties := []duty{{"orders", orders}, {"usage", reports}}

	for _, d := range duties {
		It("never send in turns to a receiver that ignores fencing tokens: "+d.lease, func() {
			s := start(3, tdplatform.Options{IgnoresFence: true})
			c := &callers{}
			s.startCallers(c)
			defer func() { close(c.stop); c.wg.Wait() }()
			sent := func() []write { return d.sent(s.cluster.Platform) }
			old := s.pauseHolder(d.lease, sent)
			count := len(sent())
			Consistently(func() int { return len(sent()) }, "2s", "50ms").Should(Equal(count), "the next holder sends nothing while the paused one may still send")
			old.Resume()
			Eventually(func() int { return len(senders(sent())) }, "40s", "50ms").Should(BeNumerically(">", 1))
			time.Sleep(window)
			expectNoInterleaving(sent())
		})
	}

	It("don't wait for each other where the platform checks fencing tokens", func() {
		s := start(3, tdplatform.Options{}, "-orders.platformChecksFencing", "-usage.sinkChecksFencing")
		sent := func() []write { return orders(s.cluster.Platform) }
		old := s.pauseHolder("orders", sent)
		Eventually(func() int { return len(senders(sent())) }, "40s", "50ms").Should(Equal(2))
		old.Resume()
		time.Sleep(window)
		expectNoInterleaving(sent())
	})

	It("continue with one when the other is no longer on the list of VMs", func() {
		s := start(3, tdplatform.Options{IgnoresFence: true})
		sent := func() []write { return orders(s.cluster.Platform) }
		Eventually(sent, "40s", "50ms").ShouldNot(BeEmpty())
		old := s.node(sent()[0].sender)
		old.Kill()
		count := len(sent())
		Eventually(func() string { return s.holder("orders") }, "40s", "50ms").ShouldNot(Or(Equal(old.Name), BeEmpty()))
		Consistently(func() int { return len(sent()) }, "2s", "50ms").Should(Equal(count))
		s.dropVM(old.Name)
		Eventually(func() int { return len(senders(sent())) }, "40s", "50ms").Should(Equal(2))
		expectNoInterleaving(sent())
	})

	It("continue with one when another process answers at the node of the other, which died", func() {
		s := start(3, tdplatform.Options{IgnoresFence: true})
		sent := func() []write { return orders(s.cluster.Platform) }
		Eventually(sent, "40s", "50ms").ShouldNot(BeEmpty())
		old := s.node(sent()[0].sender)
		old.Kill()
		Eventually(func() string { return s.holder("orders") }, "40s", "50ms").ShouldNot(Or(Equal(old.Name), BeEmpty()))
		count := len(sent())
		s.restart(old)
		Eventually(func() int { return len(sent()) }, "40s", "50ms").Should(BeNumerically(">", count))
		expectNoInterleaving(sent())
	})

	It("change over when the store is slow and its answers are lost", func() {
		s := start(3, tdplatform.Options{IgnoresFence: true})
		s.cluster.Platform.LoseAnswers(4)
		s.cluster.Platform.SetDelay(50 * time.Millisecond)
		sent := func() []write { return orders(s.cluster.Platform) }
		old := s.pauseHolder("orders", sent)
		old.Resume()
		Eventually(func() int { return len(senders(sent())) }, "60s", "50ms").Should(BeNumerically(">", 1))
		expectNoInterleaving(sent())
	})
})
