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
	rng      *rand.Rand
	mu       sync.Mutex
	log      []string
	statuses map[string][]int // The statuses received by callers, by target.
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// injectFault injects one random fault into the deployment.
func (s *soak) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	srv := []*server{s.plain, s.engine, s.engine2}[s.rng.IntN(3)]
	pause := time.Duration(100+s.rng.IntN(700)) * time.Millisecond
	kind := s.rng.IntN(8)
	s.logf("fault %d at %s or %s for %s", kind, n.name, srv.id, pause)
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
		r := n.send(http.MethodPost, target, "key-a", name)
		s.mu.Lock()
		s.statuses[target] = append(s.statuses[target], r.status)
		s.mu.Unlock()
		succeeded := r.err == nil && r.status == http.StatusOK
		if succeeded && strings.HasPrefix(target, "/chat/") && r.body != streamBody(1, 5) {
			s.logf("VIOLATION: %s received an incomplete stream: %q", target, r.body)
		}
		time.Sleep(5 * time.Millisecond)
	}
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
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for window, reports := range s.store.reports {
		for _, r := range reports {
			if fmt.Sprint(r) != fmt.Sprint(reports[0]) {
				s.log = append(s.log, fmt.Sprintf("VIOLATION: window %d was reported as %v and %v", window, reports[0], r))
			}
		}
	}
	for n := 1; n < len(s.store.fences); n++ {
		if s.store.fences[n] < s.store.fences[n-1] {
			s.log = append(s.log, fmt.Sprintf("VIOLATION: fence %d after %d", s.store.fences[n], s.store.fences[n-1]))
		}
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
	// of faults, which are injected one after another.
	soakCallers = 6
	soakFaults  = 6
	// soakFirstSeed is the first seed, and soakSeedCount the number of seeds unless
	// TARRAGONDEAL_SOAK sets it.
	soakFirstSeed, soakSeedCount = 1, 2
)

// soakFleetSize returns the number of nodes in the fleet of a seed. Fleets of even
// seeds are so large that some nodes relay.
func soakFleetSize(seed int) int {
	const small, large = 3, 11
	if seed%2 == 0 {
		return large
	}
	return small
}

var _ = Describe("random faults", func() {
	count := soakSeedCount
	if n, err := strconv.Atoi(os.Getenv("TARRAGONDEAL_SOAK")); err == nil {
		count = n
	}
	for seed := soakFirstSeed; seed < soakFirstSeed+count; seed++ {
		It(fmt.Sprintf("violate no guarantee, seed %d", seed), func() {
			s := &soak{fleet: newFleet(soakFleetSize(seed)), rng: rand.New(rand.NewPCG(uint64(seed), 0)), statuses: make(map[string][]int)}
			s.waitReady()
			s.mu.Lock()
			s.statuses = make(map[string][]int)
			s.mu.Unlock()
			done := make(chan struct{})
			var wg sync.WaitGroup
			for c := range soakCallers {
				wg.Go(func() { s.sendRequests(c, done) })
			}
			for range soakFaults {
				s.injectFault()
				time.Sleep(time.Duration(100+s.rng.IntN(400)) * time.Millisecond)
			}
			close(done)
			wg.Wait()
			for _, n := range s.nodes {
				Eventually(n.isReady, "10s", "20ms").Should(BeTrue(), n.name)
				Eventually(func() int { return n.get("/look/1", "key-a").status }, "10s", "20ms").Should(Equal(http.StatusOK))
			}
			Expect(s.violations()).To(BeEmpty(), strings.Join(s.log, "\n"))
		})
	}
})
