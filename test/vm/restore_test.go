package vm_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// awayTime is how long the store is away before it comes back from a copy.
	awayTime = time.Second
	// dutyTime is how long a new holder may take until it acts: the lease of the one before
	// expires, others try for it, and the next window is due.
	dutyTime = 20 * time.Second
	// leaseTime is the least time of the lease of the duties.
	leaseTime = 3 * time.Second
	// heartbeat is how often servers write their entries.
	heartbeat = time.Second
)

// keepServers writes the entries of all servers now and then, as servers do, until the spec
// ends.
func (f *fleet) keepServers() {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
				f.putServers()
			}
		}
	}()
	DeferCleanup(func() {
		close(done)
		<-ended
	})
}

func (f *fleet) putServers() {
	f.store.put("servers/i-plain", f.plain.entry("records", "ready"))
	f.store.put("servers/i-one", f.engine.entry("model", "ready"))
	f.store.put("servers/i-two", f.engine2.entry("model", "ready"))
}

// waitDuty waits until a duty call has been made after the given time, and returns its holder.
func (f *fleet) waitDuty(after time.Time) *node {
	GinkgoHelper()
	var holder *node
	Eventually(func() *node {
		holder = nil
		name, at := f.store.dutyHolder()
		for _, n := range f.nodes {
			if n.name == name && at.After(after) {
				holder = n
			}
		}
		return holder
	}, dutyTime, "50ms").ShouldNot(BeNil())
	return holder
}

// rewriteConfig writes the newest configuration once more.
func (f *fleet) rewriteConfig() {
	f.version--
	f.putConfig()
}

var _ = Describe("a store that comes back from a copy", func() {
	for _, d := range []struct {
		name  string
		nodes int
		empty bool
		ahead aheadAnswer
		crash func(f *fleet, holder *node)
	}{
		{"without anything, watches wait", 3, true, aheadWaits, killHolder},
		{"without anything, watches get no events", 3, true, aheadAnswers, killHolder},
		{"without anything, watches get no events and their own revision", 3, true, aheadEchoes, killHolder},
		{"without anything, watches get 410", 3, true, aheadGone, killHolder},
		{"without anything, while all nodes are killed", 3, true, aheadWaits, killAll},
		{"with earlier entries, watches wait", 3, false, aheadWaits, killHolder},
		{"with earlier entries, watches get no events", 3, false, aheadAnswers, killHolder},
		{"with earlier entries, watches get 410", 3, false, aheadGone, killHolder},
		{"with earlier entries, while all nodes are killed", 3, false, aheadGone, killAll},
		{"without anything, some nodes receive copies, watches wait", 11, true, aheadWaits, killHolder},
		{"with earlier entries, some nodes receive copies, watches get 410", 11, false, aheadGone, killHolder},
	} {
		// Guards against fencing tokens that are given twice or go back, windows that are
		// reported with two counts, and configurations that are lost, since the revisions of
		// the store went back.
		It("breaks no guarantee: "+d.name, func() {
			f := newFleet(d.nodes)
			f.waitReady()
			f.store.setHistory(func() { f.store.ahead = d.ahead })
			items, rev := f.store.copyOf()
			if d.empty {
				items, rev = nil, 1
			}
			f.keepServers()
			load := f.startLoadWith("key-other", "/look/", 20*time.Millisecond)
			for range 20 {
				f.withdraw(0)
			}
			first := f.waitDuty(time.Time{})
			first.kill()
			first.setFirstStart(false)
			first.start()
			holder := f.waitDuty(time.Now()) // Its token is above the revision of the copy.
			f.store.setUnavailable(true)
			f.store.srv.CloseClientConnections()
			time.Sleep(awayTime)
			f.store.restore(items, rev)
			d.crash(f, holder)
			f.store.setUnavailable(false)
			f.rewriteConfig()
			f.putServers()
			time.Sleep(contactTime)
			f.withdraw(configTime)
			holder = f.waitDuty(time.Now())
			holder.kill()
			holder.start()
			f.withdraw(configTime)
			f.waitDuty(time.Now().Add(heartbeat))
			load.stop()
			Expect(f.store.dutyViolations()).To(BeEmpty())
			Eventually(func() int { return f.nodes[0].get("/chat/1", f.keys[0]).status }, "5s").Should(Equal(http.StatusOK), fmt.Sprint(f.version))
		})
	}
})

// Guards against a holder that acts at once, since it did not hold the lease before, although the
// store may have forgotten the lease of another one that goes on.
var _ = Describe("a store that came back from a copy", func() {
	It("has a next holder that waits for the time of a lease", func() {
		f := newFleet(3)
		f.store.setHistory(func() { f.store.failReports = true }) // The next holder sends them again at once.
		f.waitReady()
		f.keepServers()
		first := f.waitDuty(time.Time{})
		f.store.setUnavailable(true)
		f.store.srv.CloseClientConnections()
		time.Sleep(awayTime / 2)
		f.store.restore(nil, 1)
		first.kill()
		returned := time.Now()
		f.store.setUnavailable(false)
		f.rewriteConfig()
		f.waitDuty(returned)
		_, at := f.store.dutyHolder()
		Expect(at).To(BeTemporally(">", returned.Add(leaseTime)))
	})

	// Guards against a node that starts with the older configuration of the copy, before the
	// operator writes the newest one again.
	It("leaves the newest configuration in force at a node that starts before it is written again", func() {
		f := newFleet(3)
		f.waitReady()
		items, rev := f.store.copyOf()
		withdrawn := f.keys[0]
		for range 5 {
			f.withdraw(0)
		}
		f.withdraw(configTime)
		f.store.restore(items, rev)
		n := f.nodes[0]
		killHolder(nil, n)
		Eventually(n.isReady, "10s", "20ms").Should(BeTrue())
		time.Sleep(contactTime)
		Expect(n.get("/look/1", withdrawn).status).To(Equal(http.StatusUnauthorized))
		Expect(n.get("/look/1", f.keys[0]).status).To(Equal(http.StatusOK))
		f.rewriteConfig()
		f.withdraw(configTime)
	})
})

var _ = Describe("servers after the store came back from a copy", func() {
	for _, size := range []int{3, 11} {
		// Guards against requests to servers that left, or whose data centre is evacuated, after
		// the copy was taken, and against servers that are not used though they wrote since.
		It(fmt.Sprintf("get requests of %d nodes only if they are still there", size), func() {
			f, far := newEvacuationFleet(size)
			left := newServer("i-left")
			DeferCleanup(left.srv.Close)
			f.store.put("servers/i-left", left.entry("records", "ready"))
			f.expectRequests(left)
			f.store.setHistory(func() { f.store.ahead = aheadWaits })
			items, rev := f.store.copyOf()
			f.store.remove("servers/i-left") // It has not said that it is leaving.
			f.store.put(evacuationKey, "")
			time.Sleep(evacuationBound)
			at := time.Now()
			f.store.setUnavailable(true)
			f.store.srv.CloseClientConnections()
			time.Sleep(awayTime)
			f.store.restore(items, rev)
			f.store.setUnavailable(false)
			load := f.startLoad("/look/", 10*time.Millisecond)
			time.Sleep(3 * heartbeat)
			f.store.remove("servers/i-left") // It has been silent.
			time.Sleep(5 * time.Second)
			load.stop()
			Expect(receivedAfter(left, at)).To(BeZero(), "the server that left")
			Expect(receivedAfter(far, at)).To(BeZero(), "the server of the evacuated data centre")
			f.store.put("servers/i-left", left.entry("records", "ready")) // It has started again.
			f.expectRequests(left)
			f.store.put(evacuationKey, "")
			time.Sleep(time.Second)
			f.store.remove(evacuationKey)
			f.expectRequests(far)
		})
	}
})

// killHolder kills the holder of the duties, which starts again.
func killHolder(_ *fleet, holder *node) {
	holder.kill()
	holder.setFirstStart(false)
	holder.start()
}

// killAll kills all nodes at the same time, which start again.
func killAll(f *fleet, _ *node) {
	for _, n := range f.nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range f.nodes {
		n.kill()
		n.setFirstStart(false)
		n.start()
	}
}
