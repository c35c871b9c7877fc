package vm_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// soak is a run with random faults that are determined by its seed.
type soak struct {
	*fleet
	linked   []*linkedNode // The nodes, if each has links of its own to the servers.
	rng      *rand.Rand
	mu       sync.Mutex
	log      []string
	statuses map[string][]int // The statuses received by callers, by target.
	streams  streamCounts
	// limitFrom are the times at which the second engine first announced a limit,
	// one for each of its runs; empty if it announces none.
	limitFrom []time.Time
	saved     []savedStore // Copies of the store, one before each fault.
}

// savedStore is a copy of the store.
type savedStore struct {
	items map[string]item
	rev   uint64
}

// streamCounts counts the streams of a soak, to show what it has covered.
type streamCounts struct {
	Complete  int // Streams that callers received completely.
	Resumed   int // Of these, those resumed by the caller.
	Broken    int // Responses that broke off after some events.
	Continued int // Runs at a server that continued a stream.
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(format, args...)+time.Now().UTC().Format(" (at 15:04:05.000)"))
}

// injectFault injects one fault of the given kind into the deployment.
func (s *soak) injectFault(kind int) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	srv := []*server{s.plain, s.engine, s.engine2}[s.rng.IntN(3)]
	pause := time.Duration(100+s.rng.IntN(700)) * time.Millisecond
	s.logf("fault %d at %s or %s for %s", kind, n.name, srv.id, pause)
	items, rev := s.store.copyOf()
	s.saved = append(s.saved, savedStore{items, rev})
	switch kind {
	case 0:
		n.kill()
		time.Sleep(pause)
		n.start()
	case 1:
		n.signal(syscall.SIGTERM)
		_ = n.cmd.Wait()
		n.start()
	case 2:
		n.signal(syscall.SIGSTOP)
		time.Sleep(pause)
		n.signal(syscall.SIGCONT)
	case 3:
		s.store.setUnavailable(true)
		time.Sleep(pause)
		s.store.setUnavailable(false)
	case 4:
		srv.srv.CloseClientConnections()
	case 5:
		srv.update(func(x *server) { x.reject = true })
		time.Sleep(pause)
		srv.update(func(x *server) { x.reject = false })
	case 6:
		srv.update(func(x *server) { x.breakAfter = 2 })
		time.Sleep(pause)
		srv.update(func(x *server) { x.breakAfter = 0 })
	case 7:
		s.putConfig()
	case 12, 13:
		s.injectLinkFault(kind, pause)
	case 14:
		s.injectLeaving(srv)
	case 15:
		s.injectBrittle()
	case 16:
		s.injectOverlap()
	case 17:
		s.injectReturn(n)
	default:
		s.injectStreamFault(kind, pause)
	}
}

// injectLeaving lets a server say in its answers, but not in its entry, that it leaves, and
// start again some time later.
func (s *soak) injectLeaving(srv *server) {
	unavailable := s.rng.IntN(2) == 1
	s.store.setUnavailable(unavailable)
	leave(srv)
	time.Sleep(leavingBound)
	var at time.Time
	srv.update(func(x *server) { at = x.leavingAt })
	if at.IsZero() { // No request reached it.
		at = time.Now()
	}
	time.Sleep(leavingBound)
	if n := receivedAfter(srv, at.Add(leavingBound)); n > 0 {
		s.logf("VIOLATION: %d requests reached %s later than %s after it had said that it leaves, store unavailable %t", n, srv.id, leavingBound, unavailable)
	}
	srv.update(func(x *server) { x.leaving = "" })
	s.store.setUnavailable(false)
	pool := "model"
	if srv == s.plain {
		pool = "records"
	}
	s.store.put("servers/"+srv.id, srv.entry(pool, "ready"))
	if srv == s.engine2 && len(s.limitFrom) > 0 {
		s.limitFrom = append(s.limitFrom, time.Now())
	}
}

// injectBrittle makes the engines brittle while they get more requests than they have room
// for, and injects another fault meanwhile.
func (s *soak) injectBrittle() {
	var brittle []*brittleServer
	s.updateEngines(func(x *server) {
		x.brittle = &brittleServer{rejects: 1 + s.rng.IntN(3)}
		brittle = append(brittle, x.brittle)
	})
	l := s.startLoad("/chat/more", soakBrittleInterval)
	time.Sleep(brittleGrace + time.Second)
	s.injectFault(s.rng.IntN(soakNodeFaults))
	time.Sleep(2 * time.Second)
	l.stop()
	failures := 0
	for _, b := range brittle {
		b.mu.Lock()
		failures += b.failures
		b.mu.Unlock()
	}
	if failures > 2+len(brittle)/10 {
		s.logf("VIOLATION: brittle engines failed %d times", failures)
	}
	s.updateEngines(func(x *server) { x.brittle = nil })
}

// injectReturn lets the store come back from a copy, or empty, up to twice, while a node is killed
// or stands still. The operator and the servers then write again what they last wrote, and the
// operator withdraws a key.
func (s *soak) injectReturn(n *node) {
	s.store.setHistory(func() { s.store.ahead = aheadAnswer(s.rng.IntN(int(aheadEchoes) + 1)) })
	for range 1 + s.rng.IntN(2) {
		c, away := savedStore{rev: 1}, time.Duration(200+s.rng.IntN(1000))*time.Millisecond
		if s.rng.IntN(3) > 0 {
			c = s.saved[s.rng.IntN(len(s.saved))]
		}
		s.logf("the store comes back at %d after %s, watches from ahead are answered in way %d", c.rev, away, s.store.ahead)
		s.store.setUnavailable(true)
		s.store.srv.CloseClientConnections()
		resume := func() {}
		switch s.rng.IntN(3) {
		case 0:
			n.kill()
			n.setFirstStart(false)
			resume = n.start
		case 1:
			n.signal(syscall.SIGSTOP)
			resume = func() { n.signal(syscall.SIGCONT) }
		}
		time.Sleep(away)
		s.store.restore(c.items, c.rev)
		s.store.setUnavailable(false)
		s.rewriteConfig()
		s.putServers()
		time.Sleep(time.Duration(s.rng.IntN(500)) * time.Millisecond)
		resume()
	}
	time.Sleep(contactTime)
	withdrawn := s.keys[1]
	s.keys[1] = fmt.Sprint("key-", s.version)
	s.putConfig()
	time.Sleep(soakConfigBound)
	for _, n := range s.nodes {
		if r := n.get("/look/1", withdrawn); r.status == http.StatusOK {
			s.logf("VIOLATION: %s accepts %s, which was withdrawn %s ago, after the store came back", n.name, withdrawn, soakConfigBound)
		}
	}
}

// injectOverlap makes changes that overlap: two configurations with many more routes, an engine
// whose entry says that it leaves, and meanwhile nodes that are stopped in turn or get SIGHUP.
// Callers go on using their connections.
func (s *soak) injectOverlap() {
	srv := []*server{s.engine, s.engine2}[s.rng.IntN(2)]
	order := s.rng.Perm(len(s.nodes))
	stopped, calm := order[:len(order)/2], order[len(order)/2:]
	var wg sync.WaitGroup
	wg.Go(func() {
		for _, n := range stopped {
			s.nodes[n].signal(syscall.SIGTERM)
			_ = s.nodes[n].cmd.Wait()
			s.nodes[n].start()
		}
	})
	for range 2 {
		s.growConfig()
		s.nodes[calm[s.rng.IntN(len(calm))]].signal(syscall.SIGHUP)
		time.Sleep(time.Duration(s.rng.IntN(300)) * time.Millisecond)
	}
	s.store.put("servers/"+srv.id, srv.entry("model", "draining"))
	left, version := time.Now(), s.version
	time.Sleep(soakConfigBound)
	for _, n := range calm {
		if r := s.nodes[n].get(fmt.Sprintf("/v%d/x", version), "key-a"); r.status == http.StatusNotFound {
			s.logf("VIOLATION: configuration %d is not in force at %s after %s", version, s.nodes[n].name, soakConfigBound)
		}
	}
	wg.Wait()
	if n := receivedAfter(srv, left.Add(leavingBound)); n > 0 {
		s.logf("VIOLATION: %d requests reached %s later than %s after its entry said that it leaves", n, srv.id, leavingBound)
	}
	s.store.put("servers/"+srv.id, srv.entry("model", "ready"))
	if srv == s.engine2 && len(s.limitFrom) > 0 {
		s.limitFrom = append(s.limitFrom, time.Now())
	}
}

// growConfig publishes a configuration with many more routes, one of which has the prefix /vN/
// for version N.
func (s *soak) growConfig() {
	for n := range soakMoreRoutes {
		s.more = append(s.more, map[string]any{
			"name": fmt.Sprintf("more%d-%d", s.version+1, n), "host": "x.example", "prefix": fmt.Sprintf("/more%d-%d/", s.version+1, n),
			"kind": "idempotent", "timeoutMs": 5000, "sloMs": 500, "priority": 1, "service": "records", "maxAttempts": 2,
		})
	}
	s.more = append(s.more, map[string]any{
		"name": fmt.Sprintf("version%d", s.version+1), "host": "x.example", "prefix": fmt.Sprintf("/v%d/", s.version+1),
		"kind": "idempotent", "timeoutMs": 5000, "sloMs": 500, "priority": 1, "service": "records", "maxAttempts": 2,
	})
	s.putConfig()
}

// injectLinkFault cuts nodes off from servers: one or two nodes from all of them, or all
// nodes from one, as if that had crashed.
func (s *soak) injectLinkFault(kind int, pause time.Duration) {
	if s.linked == nil {
		return
	}
	var cut []*link
	if kind == 12 {
		first := s.rng.IntN(len(s.linked))
		for n := range 1 + s.rng.IntN(2) {
			cut = append(cut, s.linked[(first+n)%len(s.linked)].links...)
		}
	} else {
		server := s.rng.IntN(len(s.linked[0].links))
		for _, n := range s.linked {
			cut = append(cut, n.links[server])
		}
	}
	fault := []func(*link){(*link).refuse, (*link).hang}[s.rng.IntN(2)]
	reset := s.rng.IntN(2) == 1
	for _, l := range cut {
		fault(l)
		if reset {
			l.reset()
		}
	}
	time.Sleep(2 * pause)
	for _, l := range cut {
		l.heal()
	}
}

// injectStreamFault breaks the streams of an engine, while the other one, which may
// continue them, fails too.
func (s *soak) injectStreamFault(kind int, pause time.Duration) {
	srv, other := s.engine, s.engine2
	if s.rng.IntN(2) == 1 {
		srv, other = other, srv
	}
	status := []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusNotFound}[s.rng.IntN(3)]
	after := 1 + s.rng.IntN(soakEvents)
	switch kind {
	case 8:
		other.update(func(x *server) { x.status = status })
		srv.update(func(x *server) { x.breakAfter = after })
		time.Sleep(pause)
		srv.update(func(x *server) { x.breakAfter = 0 })
		other.update(func(x *server) { x.status = 0 })
	case 9:
		other.update(func(x *server) { x.status = status })
		srv.srv.CloseClientConnections()
		time.Sleep(pause)
		other.update(func(x *server) { x.status = 0 })
	case 10: // Both break off, at different events.
		other.update(func(x *server) { x.breakAfter = after })
		srv.update(func(x *server) { x.breakAfter = 1 + after%soakEvents })
		time.Sleep(pause)
		other.update(func(x *server) { x.breakAfter = 0 })
		srv.update(func(x *server) { x.breakAfter = 0 })
	case 11: // The server crashes and starts again; meanwhile its entry is gone.
		srv.update(func(x *server) { x.status = http.StatusBadGateway })
		srv.srv.CloseClientConnections()
		s.store.remove("servers/" + srv.id)
		time.Sleep(pause)
		srv.update(func(x *server) { x.status = 0 })
		s.store.put("servers/"+srv.id, srv.entry("model", "ready"))
		if srv == s.engine2 && len(s.limitFrom) > 0 {
			s.limitFrom = append(s.limitFrom, time.Now())
		}
	}
}

// checkLimit checks the requests that the second engine received in each of its runs.
func (s *soak) checkLimit() {
	for n, from := range s.limitFrom {
		to := time.Now()
		if n+1 < len(s.limitFrom) {
			to = s.limitFrom[n+1]
		}
		if got := mostInWindow(s.engine2, from.Add(limitGrace), to); got > permitted(soakLimit) {
			s.logf("VIOLATION: %d requests in %s at a server that accepts %d a second", got, limitWindow, soakLimit)
		}
	}
}

// receiveStream requests a stream and resumes it, at another node each time, until
// it is complete.
func (s *soak) receiveStream(caller, k int, target string) {
	last, first, received := 0, "", ""
	for try := range soakResumes {
		n := s.nodes[(caller+k+try)%len(s.nodes)]
		id := fmt.Sprintf("s%d", requests.Add(1))
		headers := map[string]string{"X-Request-Id": id}
		if last > 0 {
			headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(last), first
		}
		r := n.sendStream(target, headers)
		s.mu.Lock()
		s.statuses[target] = append(s.statuses[target], r.status)
		s.mu.Unlock()
		if r.status != http.StatusOK {
			if strings.Contains(r.body, "piece") {
				s.logf("VIOLATION: %s received events with status %d: %q", target, r.status, r.body)
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		// An event of another stream still names its path, and is not expected.
		body := strings.ReplaceAll(r.body, " of "+target, "")
		received += body
		if versions := versionsOf(received); len(versions) > 1 {
			s.logf("VIOLATION: %s at %s, try %d holds events of %v: %q", target, n.name, try+1, versions, received)
			return
		}
		body = eventVersion.ReplaceAllString(body, "")
		now, err := checkStream(body, r.err, last+1, soakEvents)
		if err != nil {
			s.logf("VIOLATION: %s at %s, try %d after event %d: %v: %q", target, n.name, try+1, last, err, r.body)
			return
		}
		s.countStream(last > 0, now > last, r.err)
		if last == 0 {
			first = id
		}
		if last = now; last == soakEvents {
			return
		}
	}
}

// countStream counts a response to a request for a stream.
func (s *soak) countStream(resumed, events bool, end error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case end != nil && events:
		s.streams.Broken++
	case end == nil && resumed:
		s.streams.Resumed++
		fallthrough
	case end == nil:
		s.streams.Complete++
	}
}

// sendRequests sends requests one after another until done is closed.
func (s *soak) sendRequests(caller int, done <-chan struct{}) {
	for k := 0; ; k++ {
		select {
		case <-done:
			return
		default:
		}
		n := s.nodes[(caller+k)%len(s.nodes)]
		name := fmt.Sprintf("c%d-%d", caller, k)
		target := []string{"/look/", "/book/", "/chat/"}[k%3] + name
		if strings.HasPrefix(target, "/chat/") {
			s.receiveStream(caller, k, target)
			continue
		}
		r := n.send(http.MethodPost, target, "key-a", name)
		s.mu.Lock()
		s.statuses[target] = append(s.statuses[target], r.status)
		s.mu.Unlock()
		succeeded := r.err == nil && r.status == http.StatusOK
		if succeeded && r.body != "done by "+s.plain.id {
			s.logf("VIOLATION: %s received another answer: %q", target, r.body)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// countContinued counts the runs of streams that began after an event.
func (s *soak) countContinued() {
	s.updateEngines(func(x *server) {
		for _, r := range x.requests {
			if r.header.Get("Last-Event-Id") != "" && !r.rejected {
				s.streams.Continued++
			}
		}
	})
}

// violations checks what the servers and the platform recorded, and returns the
// violations found, also those found during the run.
func (s *soak) violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int)
	for _, a := range s.plain.received() {
		if a.header.Get("X-Tenant") != "acme" {
			s.log = append(s.log, "VIOLATION: a request of another workspace")
		}
		if !a.rejected {
			runs[a.target]++
		}
	}
	for target, statuses := range s.statuses {
		for _, status := range statuses {
			notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
			if strings.HasPrefix(target, "/book/") && notRun && runs[target] > 0 {
				s.log = append(s.log, "VIOLATION: "+target+" was reported as not run, but ran")
			}
		}
	}
	for target, n := range runs {
		if strings.HasPrefix(target, "/book/") && n > 1 {
			s.log = append(s.log, fmt.Sprintf("VIOLATION: %s ran %d times", target, n))
		}
	}
	for _, violation := range s.store.dutyViolations() {
		s.log = append(s.log, "VIOLATION: "+violation)
	}
	var out []string
	for _, line := range s.log {
		if strings.HasPrefix(line, "VIOLATION") {
			out = append(out, line)
		}
	}
	return out
}

const (
	// soakCallers is the number of concurrent callers, and soakFaults the number
	// of faults, which are injected one after another: first each of soakKinds
	// once, in random order, then random ones.
	soakCallers = 6
	soakKinds   = 18
	soakFaults  = 19
	// soakNodeFaults is the number of kinds of faults that hit nodes or the store.
	soakNodeFaults = 4
	// soakBrittleInterval is the time between two more requests while engines are brittle.
	soakBrittleInterval = 8 * time.Millisecond
	// soakEvents is the number of events of a stream, and soakPause the pause after
	// each. soakResumes bounds the requests for one stream.
	soakEvents  = 12
	soakPause   = 10 * time.Millisecond
	soakResumes = 8
	// soakLimit is the limit that an engine announces in the seeds for which
	// soakLimited returns true, in requests per second.
	soakLimit = 2
	// soakMoreRoutes is the number of routes that a configuration has more than the one
	// before, and soakConfigBound the time in which it must be in force.
	soakMoreRoutes  = 1400
	soakConfigBound = 2 * time.Second
	// soakLinkedSize is the size of the fleets whose nodes have links of their own.
	soakLinkedSize = 3
	// soakFirstSeed is the first seed, and soakSeedCount the number of seeds unless
	// TARRAGONDEAL_SOAK sets it.
	soakFirstSeed, soakSeedCount = 1, 2
)

// soakFleetSize returns the number of nodes in the fleet of a seed. Fleets of even
// seeds are so large that some nodes relay.
func soakFleetSize(seed int) int {
	const large = 11
	if seed%2 == 0 {
		return large
	}
	return soakLinkedSize
}

func soakLimited(seed int) bool { return seed%3 == 2 }

// soakVersions reports whether the engines of a seed run two versions of their software.
func soakVersions(seed int) bool { return seed%4 < 2 }

var _ = Describe("random faults", func() {
	count := soakSeedCount
	if n, err := strconv.Atoi(os.Getenv("TARRAGONDEAL_SOAK")); err == nil {
		count = n
	}
	for seed := soakFirstSeed; seed < soakFirstSeed+count; seed++ {
		It(fmt.Sprintf("violate no guarantee, seed %d", seed), func() {
			s := &soak{rng: rand.New(rand.NewPCG(uint64(seed), 0)), statuses: make(map[string][]int)}
			if size := soakFleetSize(seed); size == soakLinkedSize {
				s.fleet, s.linked = newLinkedFleet(size)
			} else {
				s.fleet = newFleet(size)
			}
			s.updateEngines(func(x *server) { x.events, x.named, x.signs, x.delay = soakEvents, true, true, soakPause })
			if soakVersions(seed) {
				s.engine2.update(func(x *server) { x.version = "v2" })
				s.store.put("servers/"+s.engine2.id, s.engine2.entry("model", "ready"))
			}
			s.waitReady()
			if soakLimited(seed) {
				announce(s.engine2, strconv.Itoa(soakLimit))
				s.limitFrom = []time.Time{time.Now()}
			}
			s.mu.Lock()
			s.statuses = make(map[string][]int)
			s.mu.Unlock()
			done := make(chan struct{})
			var wg sync.WaitGroup
			for c := range soakCallers {
				wg.Go(func() { s.sendRequests(c, done) })
			}
			kinds := s.rng.Perm(soakKinds)
			for len(kinds) < soakFaults {
				kinds = append(kinds, s.rng.IntN(soakKinds))
			}
			for _, kind := range kinds {
				s.injectFault(kind)
				time.Sleep(time.Duration(100+s.rng.IntN(400)) * time.Millisecond)
			}
			close(done)
			wg.Wait()
			for _, n := range s.nodes {
				Eventually(n.isReady, "10s", "20ms").Should(BeTrue(), n.name)
				Eventually(func() int { return n.get("/look/1", "key-a").status }, "10s", "20ms").Should(Equal(http.StatusOK))
			}
			s.countContinued()
			s.checkLimit()
			GinkgoWriter.Printf("seed %d: %+v\n", seed, s.streams)
			Expect(s.streams.Complete).To(BeNumerically(">", 0))
			Expect(s.violations()).To(BeEmpty(), strings.Join(s.log, "\n"))
		})
	}
})
