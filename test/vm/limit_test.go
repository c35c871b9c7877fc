package vm_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// limitWindow is the period over which the requests to a limited server are
	// counted. In it, limitFactor times the limit and limitSlack more are permitted.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long after a server first announced its limit the nodes
	// need not keep it.
	limitGrace = 3500 * time.Millisecond
)

// mostInWindow returns the largest number of requests that a server received in a
// window between from and to.
func mostInWindow(s *server, from, to time.Time) int {
	var at []time.Time
	for _, r := range s.received() {
		if r.at.After(from) && r.at.Before(to) {
			at = append(at, r.at)
		}
	}
	most := 0
	for n, first := range at {
		end, _ := slices.BinarySearchFunc(at[n:], first.Add(limitWindow), time.Time.Compare)
		most = max(most, end)
	}
	return most
}

func permitted(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds()) + limitSlack
}

// load sends requests to all nodes, each in turn, until it is stopped.
type load struct {
	done chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
	noDelay  int // Refusals without Retry-After.
}

func (f *fleet) startLoad(target string, interval time.Duration) *load {
	return f.startLoadWith("key-a", target, interval)
}

// startLoadWith is startLoad with another key.
func (f *fleet) startLoadWith(key, target string, interval time.Duration) *load {
	l := &load{done: make(chan struct{}), statuses: make(map[int]int)}
	l.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for k := 0; ; k++ {
			select {
			case <-l.done:
				return
			case <-tick.C:
			}
			n := f.nodes[k%len(f.nodes)]
			l.wg.Go(func() {
				r := n.get(target+strconv.Itoa(k), key)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.statuses[r.status]++
				if r.status == http.StatusServiceUnavailable && r.header.Get("Retry-After") == "" {
					l.noDelay++
				}
			})
		}
	})
	return l
}

func (l *load) stop() map[int]int {
	close(l.done)
	l.wg.Wait()
	Expect(l.noDelay).To(BeZero())
	return l.statuses
}

// announce sets the limit that a server announces; empty ends it.
func announce(s *server, limit string) {
	s.update(func(s *server) { s.limit = limit })
}

var _ = Describe("a server that announces a limit", func() {
	for _, c := range []struct {
		nodes    int
		limit    string
		interval time.Duration
	}{
		{3, "1", 25 * time.Millisecond},
		{3, "6.5", 20 * time.Millisecond},
		{11, "2", 20 * time.Millisecond},
	} {
		// Guards against an overloaded server that each node sends as many requests as before.
		It(fmt.Sprintf("gets no more requests than %s a second from %d nodes", c.limit, c.nodes), func() {
			f := newFleet(c.nodes)
			f.waitReady()
			announce(f.engine, c.limit)
			start := time.Now()
			l := f.startLoad("/chat/", c.interval)
			time.Sleep(limitGrace + 2*limitWindow)
			statuses := l.stop()
			perSecond, _ := strconv.ParseFloat(c.limit, 64)
			Expect(mostInWindow(f.engine, start.Add(limitGrace), time.Now())).To(BeNumerically("<=", permitted(perSecond)))
			Expect(f.engine.received()).NotTo(BeEmpty())
			Expect(statuses).To(HaveLen(1), "%v", statuses)
			Expect(statuses).To(HaveKey(http.StatusOK), "%v", statuses)
		})
	}

	// Guards against requests that are sent beyond the limit since no other server is
	// left, and against a limit that is hardly used then.
	It("gets what it accepts and no more if all servers have a limit", func() {
		f := newFleet(3)
		f.waitReady()
		const perSecond = 3.2
		announce(f.plain, "3.2")
		start := time.Now()
		l := f.startLoad("/look/", 30*time.Millisecond)
		time.Sleep(limitGrace + 2*limitWindow)
		statuses := l.stop()
		Expect(mostInWindow(f.plain, start.Add(limitGrace), time.Now())).To(BeNumerically("<=", permitted(perSecond)))
		Expect(statuses[http.StatusOK]).To(BeNumerically(">=", int(0.6*perSecond*2*limitWindow.Seconds())), "%v", statuses)
		Expect(statuses[http.StatusServiceUnavailable]).To(BeNumerically(">", 0), "%v", statuses)
		Expect(statuses).To(HaveLen(2), "%v", statuses)
	})

	// Guards against a limit that outlasts its announcements, and one that is not
	// kept when it is announced again.
	It("gets more requests once it announces none, until it does again", func() {
		f := newFleet(3)
		f.waitReady()
		announce(f.engine, "1")
		l := f.startLoad("/chat/", 20*time.Millisecond)
		time.Sleep(limitGrace)
		announce(f.engine, "")
		Eventually(func() int {
			return mostInWindow(f.engine, time.Now().Add(-time.Second), time.Now())
		}, "6s", "50ms").Should(BeNumerically(">", permitted(1)))
		announce(f.engine, "1")
		again := time.Now()
		time.Sleep(limitGrace + limitWindow)
		statuses := l.stop()
		Expect(mostInWindow(f.engine, again.Add(limitGrace), time.Now())).To(BeNumerically("<=", permitted(1)))
		Expect(statuses).To(HaveLen(1), "%v", statuses)
	})

	for _, c := range []struct {
		name  string
		fault func(*node)
	}{
		{"are killed and start again", func(n *node) {
			n.kill()
			time.Sleep(500 * time.Millisecond)
			n.start()
		}},
		{"are frozen for a while", func(n *node) {
			n.signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			n.signal(syscall.SIGCONT)
		}},
	} {
		// Guards against nodes that go on as if there were no limit, or use up what they
		// missed.
		It("gets no more requests while nodes "+c.name, func() {
			f := newFleet(4)
			f.waitReady()
			announce(f.engine, "1")
			start := time.Now()
			l := f.startLoad("/chat/", 25*time.Millisecond)
			time.Sleep(limitGrace)
			for _, n := range f.nodes[:2] {
				c.fault(n)
				time.Sleep(limitWindow)
			}
			l.stop()
			Expect(mostInWindow(f.engine, start.Add(limitGrace), time.Now())).To(BeNumerically("<=", permitted(1)))
		})
	}
})
