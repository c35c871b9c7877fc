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

// sending is who sent under which fencing token, in the order of arrival.
type sending struct {
	sender string
	fence  uint64
}

func orders(p *tdplatform.Platform) []sending {
	var out []sending
	for _, o := range p.Recorded().Orders {
		if o.Accepted {
			out = append(out, sending{o.Order.Sender, o.Order.Fence})
		}
	}
	return out
}

func reports(p *tdplatform.Platform) []sending {
	var out []sending
	for _, u := range p.Recorded().Usage {
		if u.Accepted {
			out = append(out, sending{string(u.Report.Sender), u.Report.Fence})
		}
	}
	return out
}

// senders returns who sent, without repeats in a row.
func senders(all []sending) []string {
	var out []string
	for _, s := range all {
		out = append(out, s.sender)
	}
	return slices.Compact(out)
}

// inTurn fails unless each sender is done before the next begins.
func inTurn(all []sending) {
	Expect(slices.IsSortedFunc(all, func(a, b sending) int { return int(a.fence) - int(b.fence) })).To(BeTrue(), "%v", all)
	byFence := make(map[uint64]string)
	for _, s := range all {
		if byFence[s.fence] != "" {
			Expect(s.sender).To(Equal(byFence[s.fence]))
		}
		byFence[s.fence] = s.sender
	}
}

// holder returns the node that has a duty, as the store names it.
func (s *site) holder(lease string) string {
	_, text, _ := strings.Cut(s.stored("lease/"+lease+"/holder"), `"holder":"`)
	name, _, _ := strings.Cut(text, "/")
	return name
}

// pauseHolder pauses the node that sent last, until another has its lease.
func (s *site) pauseHolder(lease string, sent func() []sending) *tdtest.Node {
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

var _ = Describe("the duty of ordering servers", func() {
	It("orders more servers when callers wait, and the new ones serve", func() {
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

var _ = Describe("two nodes that both believe to be in charge", func() {
	type duty struct {
		lease string
		sent  func(*tdplatform.Platform) []sending
	}
	duties := []duty{{"orders", orders}, {"usage", reports}}

	for _, d := range duties {
		It("never send in turns to a receiver that ignores fencing tokens: "+d.lease, func() {
			s := start(3, tdplatform.Options{IgnoresFence: true})
			c := &callers{}
			s.load(c)
			defer func() { close(c.stop); c.wg.Wait() }()
			sent := func() []sending { return d.sent(s.cluster.Platform) }
			old := s.pauseHolder(d.lease, sent)
			count := len(sent())
			Consistently(func() int { return len(sent()) }, "2s", "50ms").Should(Equal(count), "the next holder waits for the paused one")
			old.Resume()
			Eventually(func() int { return len(senders(sent())) }, "40s", "50ms").Should(BeNumerically(">", 1))
			time.Sleep(window)
			inTurn(sent())
		})
	}

	It("don't wait for each other where the platform checks fencing tokens", func() {
		s := start(3, tdplatform.Options{}, "-orders.platformChecksFencing", "-usage.sinkChecksFencing")
		sent := func() []sending { return orders(s.cluster.Platform) }
		old := s.pauseHolder("orders", sent)
		Eventually(func() int { return len(senders(sent())) }, "40s", "50ms").Should(Equal(2))
		old.Resume()
		time.Sleep(window)
		inTurn(sent())
	})

	It("are told apart by the list of VMs when one is gone for good", func() {
		s := start(3, tdplatform.Options{IgnoresFence: true})
		sent := func() []sending { return orders(s.cluster.Platform) }
		Eventually(sent, "40s", "50ms").ShouldNot(BeEmpty())
		old := s.node(sent()[0].sender)
		old.Kill()
		count := len(sent())
		Eventually(func() string { return s.holder("orders") }, "40s", "50ms").ShouldNot(Or(Equal(old.Name), BeEmpty()))
		Consistently(func() int { return len(sent()) }, "2s", "50ms").Should(Equal(count))
		s.dropVM(old.Name)
		Eventually(func() int { return len(senders(sent())) }, "40s", "50ms").Should(Equal(2))
		inTurn(sent())
	})

	It("are told apart when another process answers at the node of the one that died", func() {
		s := start(3, tdplatform.Options{IgnoresFence: true})
		sent := func() []sending { return orders(s.cluster.Platform) }
		Eventually(sent, "40s", "50ms").ShouldNot(BeEmpty())
		old := s.node(sent()[0].sender)
		old.Kill()
		Eventually(func() string { return s.holder("orders") }, "40s", "50ms").ShouldNot(Or(Equal(old.Name), BeEmpty()))
		count := len(sent())
		s.restart(old)
		Eventually(func() int { return len(sent()) }, "40s", "50ms").Should(BeNumerically(">", count))
		inTurn(sent())
	})

	It("don't stand in each other's way when answers of the store are lost and it is slow", func() {
		s := start(3, tdplatform.Options{IgnoresFence: true})
		s.cluster.Platform.LoseAnswers(4)
		s.cluster.Platform.SetDelay(50 * time.Millisecond)
		sent := func() []sending { return orders(s.cluster.Platform) }
		old := s.pauseHolder("orders", sent)
		old.Resume()
		Eventually(func() int { return len(senders(sent())) }, "60s", "50ms").Should(BeNumerically(">", 1))
		inTurn(sent())
	})
})
