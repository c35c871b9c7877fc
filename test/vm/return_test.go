package vm_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/base/tdclock"
)

const (
	// returnTime is how long calls are counted after the store has come back.
	returnTime = 10 * time.Second
	// returnBound is how long nodes may take to apply what is written right after that.
	returnBound = 30 * time.Second
	// returnInterval is the time between two requests of the load, through all nodes in turn.
	returnInterval = 10 * time.Millisecond
)

// kindOf returns the kind of a call of the store.
func kindOf(r *http.Request) string {
	return r.Method + " " + strings.SplitN(strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/v1"), "/"), "/", 2)[0]
}

// bySecond counts calls of the store by kind and second.
type bySecond struct {
	mu     sync.Mutex
	from   time.Time
	counts map[string][]int
}

func (c *bySecond) count(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind, second := kindOf(r), int(time.Since(c.from)/time.Second)
	if c.from.IsZero() || second >= int(returnTime/time.Second) {
		return
	}
	if c.counts[kind] == nil {
		c.counts[kind] = make([]int, returnTime/time.Second)
	}
	c.counts[kind][second]++
}

func (c *bySecond) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.from, c.counts = time.Now(), make(map[string][]int)
}

func (c *bySecond) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(c.counts)) {
		_, _ = fmt.Fprintf(&b, "  %-22s %v\n", kind, c.counts[kind])
	}
	return b.String()
}

// callLoad sends bookings and lookups through all nodes in turn, and counts their statuses.
type callLoad struct {
	mu       sync.Mutex
	statuses map[string]int
	wg       sync.WaitGroup
	done     chan struct{}
}

func (f *fleet) startCalls() *callLoad {
	l := &callLoad{statuses: make(map[string]int), done: make(chan struct{})}
	l.wg.Go(func() {
		tick := time.NewTicker(returnInterval)
		defer tick.Stop()
		for k := 0; ; k++ {
			select {
			case <-l.done:
				return
			case <-tick.C:
			}
			n, path := f.nodes[k%len(f.nodes)], []string{"/book/", "/look/"}[k/len(f.nodes)%2]
			l.wg.Go(func() {
				r := n.send(http.MethodPost, fmt.Sprint(path, "load-", k), "key-other", "")
				l.mu.Lock()
				defer l.mu.Unlock()
				if r.status != http.StatusOK {
					path = fmt.Sprint(path, r.body, r.err)
				}
				l.statuses[fmt.Sprint(path, r.status)]++
			})
		}
	})
	return l
}

// stop ends the load. It returns the statuses and how many bookings ran twice.
func (l *callLoad) stop(s *server) (statuses map[string]int, twice int) {
	close(l.done)
	l.wg.Wait()
	runs := make(map[string]int)
	for _, r := range s.received() {
		if strings.HasPrefix(r.target, "/book/") && !r.rejected {
			runs[r.target]++
		}
	}
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return l.statuses, twice
}

// timesUntil returns for each node the time from a moment until it meets a condition.
func (f *fleet) timesUntil(from time.Time, met func(n *node) bool) []time.Duration {
	took := make([]time.Duration, len(f.nodes))
	var wg sync.WaitGroup
	for k, n := range f.nodes {
		wg.Go(func() {
			for !met(n) && time.Since(from) < returnBound {
				time.Sleep(20 * time.Millisecond)
			}
			took[k] = time.Since(from).Round(time.Millisecond)
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took
}

// changeAtReturn withdraws a key and adds a route, as the operator writes at once when the store
// is back, and returns how long the nodes took to apply that.
func (f *fleet) changeAtReturn(from time.Time, servers func()) (refused, served []time.Duration) {
	withdrawn := f.keys[0]
	f.keys = append(f.keys[1:], fmt.Sprint("key-", f.version))
	f.more = append(f.more, map[string]any{
		"name": "new", "host": "x.example", "prefix": "/new/", "kind": "idempotent", "timeoutMs": 5000, "sloMs": 500,
		"priority": 1, "service": "records", "maxAttempts": 2,
	})
	f.putConfig()
	servers()
	var wg sync.WaitGroup
	wg.Go(func() {
		refused = f.timesUntil(from, func(n *node) bool { return n.get("/look/1", withdrawn).status == http.StatusUnauthorized })
	})
	wg.Go(func() {
		served = f.timesUntil(from, func(n *node) bool { return n.get("/new/1", "key-other").status == http.StatusOK })
	})
	wg.Wait()
	return refused, served
}

// heartbeats writes the entries of the servers each second. The returned function writes them at
// once.
func (f *fleet) heartbeats() func() {
	entries := map[string]any{
		"servers/i-plain": f.plain.entry("records", "ready"), "servers/i-one": f.engine.entry("model", "ready"),
		"servers/i-two": f.engine2.entry("model", "ready"),
	}
	write := func() {
		for key, e := range entries {
			f.store.put(key, e)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		for tdclock.Sleep(ctx, heartbeat) {
			write()
		}
	}()
	return write
}

// waitAll waits until all nodes are ready and a large fleet has settled.
func (f *fleet) waitAll() {
	GinkgoHelper()
	for _, n := range f.nodes {
		Eventually(n.isReady, "60s", "50ms").Should(BeTrue(), n.name)
	}
	for _, n := range f.nodes {
		Eventually(func() int { return n.get("/look/1", "key-other").status }, "60s", "50ms").Should(Equal(http.StatusOK), n.name)
	}
}

// Measures what a store that comes back from a copy costs fleets of the sizes that
// TARRAGONDEAL_RESTORE names. Run by hand.
var _ = Describe("the return of a store", func() {
	for size := range strings.SplitSeq(os.Getenv("TARRAGONDEAL_RESTORE"), ",") {
		nodes, _ := strconv.Atoi(size)
		if nodes == 0 {
			continue
		}
		for _, age := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second, 0} { // Zero: empty.
			name := fmt.Sprintf("%d nodes, a copy %s old", nodes, age)
			if age == 0 {
				name = fmt.Sprintf("%d nodes, empty", nodes)
			}
			It(name, func() {
				f := newFleet(nodes)
				f.waitAll()
				f.store.setHistory(func() { f.store.ahead = aheadWaits })
				servers := f.heartbeats()
				load := f.startCalls()
				f.waitDuty(time.Time{})
				f.store.bySecond.start()
				time.Sleep(returnTime)
				calm := f.store.bySecond.String()
				items, rev := f.store.copyOf()
				for range max(1, age/time.Second) {
					time.Sleep(time.Second)
					f.withdraw(0)
				}
				if age == 0 {
					items, rev = nil, 1
				}
				before := f.store.lastDuty()
				f.store.setUnavailable(true)
				f.store.srv.CloseClientConnections()
				time.Sleep(awayTime)
				f.store.restore(items, rev)
				f.store.bySecond.start()
				f.store.setUnavailable(false)
				back := time.Now()
				refused, served := f.changeAtReturn(back, servers)
				time.Sleep(time.Until(back.Add(returnTime)))
				f.waitDuty(time.Now())
				statuses, twice := load.stop(f.plain)
				AddReportEntry(name, fmt.Sprintf(
					"key refused: median %s, last %s; route served: median %s, last %s; duties: %s; statuses %v, ran twice %d\nlines: %v\nbefore:\n%safter:\n%s",
					refused[nodes/2], refused[nodes-1], served[nodes/2], served[nodes-1], f.store.dutiesSince(before, back), statuses, twice, f.countLines(), calm, f.store.bySecond.String()))
				Expect(twice).To(BeZero())
				Expect(refused[nodes-1]).To(BeNumerically("<", returnBound))
				Expect(served[nodes-1]).To(BeNumerically("<", returnBound))
				Expect(f.store.dutyViolations()).To(BeEmpty())
			})
		}
	}
})

// lastDuty returns the last call of a holder of the duties.
func (s *store) lastDuty() dutyCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.duties[len(s.duties)-1]
}

// dutiesSince returns when a holder first acted after a time, and when with another token than a
// call before. A holder whose lease is in the copy keeps it if no node sees that the store went back.
func (s *store) dutiesSince(before dutyCall, back time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	last := before.fence
	for _, d := range s.duties {
		if d.at.After(back) && (len(out) == 0 || d.fence != last) {
			out = append(out, fmt.Sprintf("%s with token %d after %s", d.holder, d.fence, d.at.Sub(back).Round(time.Millisecond)))
			last = d.fence
		}
	}
	return fmt.Sprintf("%s with token %d until then, %s", before.holder, before.fence, strings.Join(out, ", "))
}

// countLines ends all nodes and counts their lines about the return.
func (f *fleet) countLines() map[string]int {
	lines := make(map[string]int)
	for _, n := range f.nodes {
		n.kill()
		for _, m := range []string{"era of the store changed", "copy of the store starts anew", "copy of the store is up to date in its era"} {
			lines[m] += strings.Count(n.out.String(), m)
		}
	}
	return lines
}
