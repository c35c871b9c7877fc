package vm_test

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// pause is how long a server accepts no requests of a node that it has rejected.
	pause = 4 * time.Second
	// pauseGrace is how long after the rejection requests may still arrive, and pauseSlack
	// how many may after that.
	pauseGrace = 500 * time.Millisecond
	pauseSlack = 2
)

var _ = Describe("a server that rejects requests and asks for a pause", func() {
	// Guards against requests of several nodes through one of which the server accepts none: for the
	// server they all are that node's.
	It("gets no more requests through a node that connects others to it", func() {
		f, nodes := newLinkedFleet(4)
		f.waitReady()
		between := nodes[3]
		for _, n := range nodes[:3] {
			n.each((*link).refuse)
			n.each((*link).reset)
		}
		for _, n := range nodes[:3] {
			Eventually(func() int { return n.get("/chat/cut", "key-a").status }, "5s", "50ms").Should(Equal(http.StatusOK), n.name)
		}
		f.engine.update(func(s *server) { s.reject, s.pause = true, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64) })
		from := time.Now()
		rejected := func() bool { return receivedAfter(f.engine, from) > 0 }
		for k := 0; !rejected(); k++ {
			Expect(nodes[0].get("/chat/"+strconv.Itoa(k), "key-a").status).To(Equal(http.StatusOK))
		}
		at := time.Now()
		time.Sleep(pauseGrace)
		for k := 0; time.Since(at) < pause-pauseGrace; k++ {
			for _, n := range []*linkedNode{nodes[1], nodes[2], between} {
				Expect(n.get("/chat/"+strconv.Itoa(k), "key-a").status).To(Equal(http.StatusOK))
			}
		}
		Expect(receivedAfter(f.engine, at.Add(pauseGrace))).To(BeNumerically("<=", pauseSlack))
	})

	reject := func(s *server) {
		s.update(func(s *server) { s.reject, s.pause = true, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64) })
	}
	// pausedFrom returns when the server received the first request from a time on.
	pausedFrom := func(s *server, from time.Time) time.Time {
		GinkgoHelper()
		var at time.Time
		Eventually(func() bool {
			for _, r := range s.received() {
				if r.at.After(from) {
					at = r.at
					return true
				}
			}
			return false
		}, "5s", "10ms").Should(BeTrue())
		return at
	}

	for _, size := range []int{1, 3} {
		// Guards against a node that goes on sending during the pause, and one that sends nothing after it.
		It(fmt.Sprintf("gets no more requests until it has ended, %d nodes", size), func() {
			f := newFleet(size)
			f.waitReady()
			reject(f.engine)
			from := time.Now()
			l := f.startLoad("/chat/", 10*time.Millisecond)
			at := pausedFrom(f.engine, from)
			time.Sleep(time.Until(at.Add(pause)))
			during := receivedAfter(f.engine, at.Add(pauseGrace)) // Each node was rejected at another time.
			statuses := l.stop()
			f.engine.update(func(s *server) { s.reject = false })
			f.store.remove("servers/i-two")
			for _, n := range f.nodes { // The last of them was rejected a moment later than the first.
				Eventually(func() int { return n.get("/chat/after", "key-a").status }, "2s", "50ms").Should(Equal(http.StatusOK))
			}
			Expect(during).To(BeNumerically("<=", pauseSlack*size))
			Expect(statuses).To(HaveLen(1), "%v", statuses)
			Expect(statuses).To(HaveKey(http.StatusOK), "%v", statuses)
		})
	}

	// Guards against requests that are sent since no other server is left, and refusals without a delay
	// that follows from the pause.
	It("gets no more requests although it is the only one", func() {
		f := newFleet(1)
		f.waitReady()
		reject(f.plain)
		from := time.Now()
		f.nodes[0].get("/look/first", "key-a")
		at := pausedFrom(f.plain, from)
		for time.Now().Before(at.Add(pause - time.Second)) {
			asked := time.Now()
			r := f.nodes[0].get("/look/more", "key-a")
			Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			Expect(time.Since(asked)).To(BeNumerically("<", pauseGrace))
			delay, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(delay).To(BeNumerically(">", 0))
			time.Sleep(50 * time.Millisecond)
		}
		Expect(receivedAfter(f.plain, at.Add(pauseGrace))).To(BeNumerically("<=", pauseSlack))
		f.plain.update(func(s *server) { s.reject = false })
		time.Sleep(time.Until(at.Add(pause + 100*time.Millisecond)))
		Expect(f.nodes[0].get("/look/last", "key-a").status).To(Equal(http.StatusOK))
	})
})
