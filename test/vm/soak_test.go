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

// soak is one run of random faults, all of which follow from its seed.
type soak struct {
	*fleet
	rng  *rand.Rand
	mu   sync.Mutex
	log  []string
	told map[string][]int // The statuses that callers got, by what they asked for.
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, fmt.Sprintf(format, args...))
}

// fault does one thing to the deployment from outside.
func (s *soak) fault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	at := []*server{s.plain, s.engine, s.engine2}[s.rng.IntN(3)]
	pause := time.Duration(100+s.rng.IntN(700)) * time.Millisecond
	what := s.rng.IntN(8)
	s.note("fault %d at %s or %s for %s", what, n.name, at.id, pause)
	switch what {
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
		s.store.setAway(true)
		time.Sleep(pause)
		s.store.setAway(false)
	case 4:
		at.srv.CloseClientConnections()
	case 5:
		at.set(func(x *server) { x.turnAway = true })
		time.Sleep(pause)
		at.set(func(x *server) { x.turnAway = false })
	case 6:
		at.set(func(x *server) { x.breakAt = 2 })
		time.Sleep(pause)
		at.set(func(x *server) { x.breakAt = 0 })
	case 7:
		s.configure()
	}
}

// ask sends requests one after the other until done is closed.
func (s *soak) ask(caller int, done <-chan struct{}) {
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
		s.told[target] = append(s.told[target], r.status)
		s.mu.Unlock()
		whole := r.err == nil && r.status == http.StatusOK
		if whole && strings.HasPrefix(target, "/chat/") && r.body != events(1, 5) {
			s.note("BROKEN: %s got a stream that is not whole: %q", target, r.body)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// check looks at what servers and the platform recorded.
func (s *soak) check() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int)
	for _, a := range s.plain.seen() {
		if a.header.Get("X-Tenant") != "acme" {
			s.log = append(s.log, "BROKEN: a request of another workspace")
		}
		if !a.turnedAway {
			runs[a.target]++
		}
	}
	for target, statuses := range s.told {
		for _, status := range statuses {
			notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
			if strings.HasPrefix(target, "/book/") && notRun && runs[target] > 0 {
				s.log = append(s.log, "BROKEN: "+target+" was told not to have run, and ran")
			}
		}
	}
	for target, n := range runs {
		if strings.HasPrefix(target, "/book/") && n > 1 {
			s.log = append(s.log, fmt.Sprintf("BROKEN: %s ran %d times", target, n))
		}
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for window, reports := range s.store.reports {
		for _, r := range reports {
			if fmt.Sprint(r) != fmt.Sprint(reports[0]) {
				s.log = append(s.log, fmt.Sprintf("BROKEN: window %d was reported as %v and %v", window, reports[0], r))
			}
		}
	}
	for n := 1; n < len(s.store.fences); n++ {
		if s.store.fences[n] < s.store.fences[n-1] {
			s.log = append(s.log, fmt.Sprintf("BROKEN: fence %d after %d", s.store.fences[n], s.store.fences[n-1]))
		}
	}
	var broken []string
	for _, line := range s.log {
		if strings.HasPrefix(line, "BROKEN") {
			broken = append(broken, line)
		}
	}
	return broken
}

const (
	// soakCallers ask at the same time, and soakFaults follow one another.
	soakCallers = 6
	soakFaults  = 6
	// soakFirst is the first seed, and soakSeeds how many there are where
	// TARRAGONDEAL_SOAK does not say.
	soakFirst, soakSeeds = 1, 2
)

// soakSize returns how many nodes the fleet of a seed has: every second one has
// so many that some relay.
func soakSize(seed int) int {
	const small, large = 3, 11
	if seed%2 == 0 {
		return large
	}
	return small
}

var _ = Describe("random faults", func() {
	count := soakSeeds
	if n, err := strconv.Atoi(os.Getenv("TARRAGONDEAL_SOAK")); err == nil {
		count = n
	}
	for seed := soakFirst; seed < soakFirst+count; seed++ {
		It(fmt.Sprintf("break no promise, seed %d", seed), func() {
			s := &soak{fleet: newFleet(soakSize(seed)), rng: rand.New(rand.NewPCG(uint64(seed), 0)), told: make(map[string][]int)}
			s.settled()
			s.mu.Lock()
			s.told = make(map[string][]int)
			s.mu.Unlock()
			done := make(chan struct{})
			var wg sync.WaitGroup
			for c := range soakCallers {
				wg.Go(func() { s.ask(c, done) })
			}
			for range soakFaults {
				s.fault()
				time.Sleep(time.Duration(100+s.rng.IntN(400)) * time.Millisecond)
			}
			close(done)
			wg.Wait()
			for _, n := range s.nodes {
				Eventually(n.isReady, "10s", "20ms").Should(BeTrue(), n.name)
				Eventually(func() int { return n.get("/look/1", "key-a").status }, "10s", "20ms").Should(Equal(http.StatusOK))
			}
			Expect(s.check()).To(BeEmpty(), strings.Join(s.log, "\n"))
		})
	}
})
