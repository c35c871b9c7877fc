package vm_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// brittleGrace is how long after its first answer that says so a brittle server may let
	// fewer requests wait.
	brittleGrace = 3 * time.Second
	// brittleDownTime is how long a server that has failed answers nothing.
	brittleDownTime = 2 * time.Second
	// brittleSlots is how many requests a brittle server runs at once, as its entry says.
	brittleSlots = 8
)

// brittleServer is the room of a stand-in server that fails if it has to reject more than
// rejects requests in a second.
type brittleServer struct {
	rejects int

	mu        sync.Mutex
	since     time.Time // When it first said so.
	open      int
	rejected  []time.Time
	downUntil time.Time
	failures  int // From brittleGrace on.
}

// begin reports whether a request may run, whose end the caller reports with end. If not,
// it has answered the request, unless the server is down.
func (b *brittleServer) begin(w http.ResponseWriter) (end func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.downUntil) {
		panic(http.ErrAbortHandler)
	}
	if b.since.IsZero() {
		b.since = now
	}
	w.Header().Set("Server-Brittle", strconv.Itoa(b.rejects))
	if settled := now.Sub(b.since) > brittleGrace; b.open >= brittleSlots && settled || b.open >= 2*brittleSlots {
		b.reject(now, settled)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return nil, false
	}
	b.open++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.open--
	}, true
}

func (b *brittleServer) reject(now time.Time, settled bool) {
	b.rejected = append(b.rejected, now)
	for now.Sub(b.rejected[0]) >= time.Second {
		b.rejected = b.rejected[1:]
	}
	if settled && len(b.rejected) > b.rejects {
		b.failures++
		b.rejected, b.downUntil = nil, now.Add(brittleDownTime)
	}
}

var _ = Describe("brittle servers", func() {
	for _, c := range []struct{ size, rejects int }{{1, 1}, {3, 1}, {3, 3}, {11, 1}} {
		// Guards against nodes that together send a brittle server more than it has room for.
		It(fmt.Sprintf("that can take %d rejections a second don't fail before %d nodes with more requests than room", c.rejects, c.size), func() {
			f := newFleet(c.size)
			f.waitReady()
			servers := []*brittleServer{{rejects: c.rejects}, {rejects: c.rejects}}
			for n, s := range []*server{f.engine, f.engine2} {
				s.update(func(s *server) { s.delay, s.brittle = 100*time.Millisecond, servers[n] })
			}
			l := f.startLoad("/chat/", 20*time.Millisecond)
			time.Sleep(brittleGrace + 6*time.Second)
			statuses := l.stop()
			for _, b := range servers {
				b.mu.Lock()
				Expect(b.failures).To(BeZero())
				b.mu.Unlock()
			}
			Expect(statuses[http.StatusOK]).To(BeNumerically(">", 100), "%v", statuses)
		})
	}

	// Guards against nodes that go on dividing the room of servers that are no longer brittle.
	It("that are so no longer get as many requests as others", func() {
		f := newFleet(3)
		f.waitReady()
		for _, s := range []*server{f.engine, f.engine2} {
			s.update(func(s *server) { s.brittle = &brittleServer{rejects: 1} })
		}
		for _, n := range f.nodes {
			Expect(n.get("/chat/1", "key-a").status).To(Equal(http.StatusOK))
		}
		time.Sleep(500 * time.Millisecond)
		for _, s := range []*server{f.engine, f.engine2} {
			s.update(func(s *server) { s.delay, s.brittle = 100*time.Millisecond, nil })
		}
		for k := range 40 { // Each server answers some of them.
			Expect(f.nodes[k%3].get("/chat/1", "key-a").status).To(Equal(http.StatusOK))
		}
		time.Sleep(500 * time.Millisecond)
		var wg sync.WaitGroup
		for range 24 { // More than one node's parts of both servers.
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(f.nodes[0].get("/chat/1", "key-a").status).To(Equal(http.StatusOK))
			})
		}
		wg.Wait()
	})
})
