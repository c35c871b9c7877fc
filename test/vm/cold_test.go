package vm_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// coldWindow is the period over which the requests to a cold server are counted. In it,
	// coldExcess times its rate and coldSlack more are permitted, as in the nodes' settings.
	coldWindow = time.Second
	coldExcess = 1.5
	coldSlack  = 5
	// evacuationBound is how long after the key was written requests may reach the servers of
	// an evacuated data centre, as in the nodes' settings.
	evacuationBound = 5 * time.Second
	evacuationKey   = "op/evacuate/marquette"
)

// mostInColdWindow returns the largest number of requests that a server received in a
// second after a time. Those that it answered with 421 don't count.
func mostInColdWindow(s *server, from time.Time) int {
	var at []time.Time
	for _, r := range s.received() {
		if r.at.After(from) && r.header.Get("X-Expect-Instance") == s.id {
			at = append(at, r.at)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most := 0
	for n, first := range at {
		end, _ := slices.BinarySearchFunc(at[n:], first.Add(coldWindow), time.Time.Compare)
		most = max(most, end)
	}
	return most
}

func permittedCold(perSecond float64) int { return int(coldExcess*perSecond) + coldSlack }

// putCold lists an engine as cold for a time. Seq is the number of the write of its entry.
func (f *fleet) putCold(s *server, left time.Duration, seq int) {
	entry := s.entry("model", "ready")
	entry["coldLeftMs"], entry["seq"], entry["born"] = left.Milliseconds(), seq, 1_700_000_000_000
	f.store.put("servers/"+s.id, entry)
}

// newEvacuationFleet returns a fleet with a second plain server, which is in another data centre.
func newEvacuationFleet(size int) (f *fleet, far *server) {
	f = newFleet(size)
	far = newServer("i-far")
	DeferCleanup(far.srv.Close)
	entry := far.entry("records", "ready")
	entry["zone"] = "marquette"
	f.store.put("servers/i-far", entry)
	f.waitReady()
	return f, far
}

// restartAll kills all nodes, and starts them after a time.
func (f *fleet) restartAll(down time.Duration) {
	GinkgoHelper()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(n.kill)
	}
	wg.Wait()
	time.Sleep(down)
	for _, n := range f.nodes {
		n.start()
	}
}

// expectRequests waits until a plain server gets requests of each node.
func (f *fleet) expectRequests(s *server) {
	GinkgoHelper()
	for k, n := range f.nodes {
		Eventually(func() bool {
			path := fmt.Sprintf("/look/from%d-%d", k, requests.Add(1))
			n.get(path, "key-a")
			return slices.ContainsFunc(s.received(), func(r receivedRequest) bool { return r.target == path })
		}, "5s", "10ms").Should(BeTrue(), n.name)
	}
}

var _ = Describe("a data centre that is evacuated", func() {
	for _, size := range []int{3, 11} {
		for _, restart := range []struct {
			name string
			down time.Duration // How long all nodes are down; zero if they run on.
		}{
			{"run on", 0},
			{"are all killed and start again at once", time.Millisecond},
			{"are all killed and start again after their entries have expired", 8 * time.Second},
		} {
			// Guards against requests to servers that operators have evacuated, also by nodes that start
			// then, and against servers that are not used after the evacuation.
			It(fmt.Sprintf("gets no requests until its key is removed while %d nodes %s", size, restart.name), func() {
				f, far := newEvacuationFleet(size)
				f.expectRequests(far)
				l := f.startLoad("/look/", 10*time.Millisecond)
				f.store.put(evacuationKey, map[string]any{"by": "an operator"})
				at := time.Now()
				time.Sleep(evacuationBound + 2*time.Second)
				statuses := l.stop()
				Expect(statuses).To(HaveLen(1), "%v", statuses)
				Expect(statuses).To(HaveKey(http.StatusOK), "%v", statuses)
				if restart.down > 0 {
					f.restartAll(restart.down)
					l = f.startLoad("/look/", 10*time.Millisecond)
					for _, n := range f.nodes {
						Eventually(n.isReady, "10s", "20ms").Should(BeTrue(), n.name)
					}
					time.Sleep(2 * time.Second)
					l.stop()
				}
				Expect(receivedAfter(far, at.Add(evacuationBound))).To(BeZero())
				f.store.remove(evacuationKey)
				f.expectRequests(far)
			})
		}
	}

	// Guards against a node that has the key from another one only, and against one that takes the end of an
	// outage for the end of the evacuation or keeps an evacuation that was taken back meanwhile.
	It("gets no requests after an outage of the store, and gets them again if the key was removed in one", func() {
		f, far := newEvacuationFleet(3)
		f.store.put(evacuationKey, "")
		at := time.Now()
		time.Sleep(time.Second)
		f.store.setUnavailable(true)
		l := f.startLoad("/look/", 10*time.Millisecond)
		time.Sleep(evacuationBound)
		f.store.setUnavailable(false)
		time.Sleep(2 * time.Second)
		l.stop()
		Expect(receivedAfter(far, at.Add(evacuationBound))).To(BeZero())
		f.store.setUnavailable(true)
		f.store.remove(evacuationKey)
		time.Sleep(2 * time.Second)
		f.store.setUnavailable(false)
		f.expectRequests(far)
	})

	// Guards against an evacuation that is ignored since the store has many other keys like it.
	It("gets no requests although another writer has left many keys", func() {
		f, far := newEvacuationFleet(3)
		for n := range 1200 {
			f.store.put(fmt.Sprintf("op/evacuate/%d", n), "")
		}
		time.Sleep(time.Second)
		f.store.put(evacuationKey, "")
		at := time.Now()
		l := f.startLoad("/look/", 10*time.Millisecond)
		time.Sleep(evacuationBound + 2*time.Second)
		l.stop()
		Expect(receivedAfter(far, at.Add(evacuationBound))).To(BeZero())
		f.store.remove(evacuationKey)
		f.expectRequests(far)
	})

	// Guards against keys that name no data centre, whose characters or length a node can't bear.
	It("is the one that a key names, whatever other keys there are", func() {
		f, far := newEvacuationFleet(3)
		for _, name := range []string{"", "/", "Marquette", "marquette/", " marquette", "%6darquette", "mar\x00quette", "\n", "é\u2028", strings.Repeat("m", 5000)} {
			f.store.put("op/evacuate/"+name, "")
		}
		time.Sleep(time.Second)
		f.expectRequests(far)
		f.store.put(evacuationKey, "")
		at := time.Now()
		l := f.startLoad("/look/", 10*time.Millisecond)
		time.Sleep(evacuationBound + time.Second)
		l.stop()
		Expect(receivedAfter(far, at.Add(evacuationBound))).To(BeZero())
	})

	// Guards against callers that get no answer, or one without a delay, when all servers are evacuated.
	It("leaves callers a refusal if no other has servers", func() {
		f, _ := newEvacuationFleet(3)
		f.store.remove("servers/" + f.plain.id)
		f.store.put(evacuationKey, "")
		time.Sleep(evacuationBound)
		l := f.startLoad("/look/", 20*time.Millisecond)
		time.Sleep(2 * time.Second)
		statuses := l.stop()
		Expect(statuses).To(HaveLen(1), "%v", statuses)
		Expect(statuses).To(HaveKey(http.StatusServiceUnavailable), "%v", statuses)
	})
})

// total returns the number of answers.
func total(statuses map[int]int) int {
	n := 0
	for _, count := range statuses {
		n += count
	}
	return n
}

var _ = Describe("a server that is listed as cold", func() {
	for _, c := range []struct {
		nodes     int
		perSecond float64
		change    func(f *fleet)
		name      string
	}{
		{3, 6, nil, ""},
		{11, 6, nil, ""},
		{3, 20, nil, ""},
		{3, 6, func(f *fleet) { f.putCold(f.engine, 20*time.Second, 3) }, " while its entry is written again with less time left"},
		{4, 6, func(f *fleet) { f.restartAll(time.Millisecond) }, " while all nodes are killed and start again"},
		{11, 6, func(f *fleet) { f.restartAll(8 * time.Second) }, " while all nodes are killed and start again after their entries have expired"},
	} {
		// Guards against a server that crashes under the requests of all nodes before it is warm.
		It(fmt.Sprintf("gets no more requests a second from %d nodes than its rate of %g permits%s", c.nodes, c.perSecond, c.name), func() {
			f := newFleet(c.nodes)
			f.coldPerS = c.perSecond
			f.putConfig()
			f.waitReady()
			f.store.remove("servers/" + f.engine2.id) // So that callers press on the cold one.
			f.putCold(f.engine, 40*time.Second, 2)
			time.Sleep(noticeTime)
			from := time.Now()
			l := f.startLoad("/chat/", 5*time.Millisecond)
			time.Sleep(4 * time.Second)
			if c.change != nil {
				c.change(f)
				time.Sleep(4 * time.Second)
			}
			statuses := l.stop()
			Expect(mostInColdWindow(f.engine, from)).To(BeNumerically("<=", permittedCold(c.perSecond)))
			Expect(receivedAfter(f.engine, from)).To(BeNumerically(">", 2))
			if c.change == nil {
				Expect(statuses[http.StatusOK]).To(BeNumerically(">", 4), "%v", statuses)
				Expect(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable]).To(Equal(total(statuses)), "%v", statuses)
			}
		})
	}

	// Guards against callers who press on cold servers since there are no others: refusals come with a delay.
	It("gets no more than permitted if all servers are cold", func() {
		f := newFleet(3)
		f.coldPerS = 6
		f.putConfig()
		f.waitReady()
		f.putCold(f.engine, 40*time.Second, 2)
		f.putCold(f.engine2, 40*time.Second, 2)
		time.Sleep(noticeTime)
		from := time.Now()
		l := f.startLoad("/chat/", 10*time.Millisecond)
		time.Sleep(4 * time.Second)
		statuses := l.stop()
		for _, s := range []*server{f.engine, f.engine2} {
			Expect(mostInColdWindow(s, from)).To(BeNumerically("<=", permittedCold(f.coldPerS)), s.id)
		}
		Expect(statuses[http.StatusOK]).To(BeNumerically(">", 10), "%v", statuses)
		Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically(">", 0), "%v", statuses)
		Expect(statuses).To(HaveLen(2), "%v", statuses)
	})

	// Guards against a server that turns cold again for as long as before: its entry has the same time left.
	It("gets few requests when it turns cold once more while it runs, and many between", func() {
		f := newFleet(3)
		f.coldPerS = 6
		f.putConfig()
		f.waitReady()
		f.store.remove("servers/" + f.engine2.id)
		f.putCold(f.engine, 4*time.Second, 2)
		time.Sleep(5 * time.Second)
		l := f.startLoad("/chat/", 5*time.Millisecond)
		warm := time.Now()
		time.Sleep(2 * time.Second)
		Expect(mostInColdWindow(f.engine, warm)).To(BeNumerically(">", permittedCold(f.coldPerS)))
		f.putCold(f.engine, 4*time.Second, 3)
		time.Sleep(noticeTime)
		again := time.Now()
		time.Sleep(3 * time.Second)
		Expect(mostInColdWindow(f.engine, again)).To(BeNumerically("<=", permittedCold(f.coldPerS)))
		l.stop()
	})
})
