package vm_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	upgradeNodes = 11 // Some nodes of a fleet of this size relay.
	// upgradeRoutes is the number of unused routes of a configuration: it is too large to
	// be sent to a leaf in one state.
	upgradeRoutes = 4000
	// upgradeBound is how long a change of the store may take to be in force everywhere,
	// as in the nodes' settings.
	upgradeBound = 2 * time.Second
	// maxLateness bounds the wait for a configuration that is late, to log how late it is.
	maxLateness = 10 * time.Second
)

// upgrade is a run in which the nodes are replaced one after the other by those of
// another build, under load.
type upgrade struct {
	*soak
	drained []drain
}

// drain is a time in which a server was leaving.
type drain struct {
	server   *server
	from, to time.Time
}

// buildCommit builds the node program of an earlier commit from the repository's history.
// It skips the spec if the history does not have it.
func buildCommit(commit string) string {
	GinkgoHelper()
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		Skip("no repository: " + err.Error())
	}
	dir := GinkgoT().TempDir()
	top := strings.TrimSpace(string(root))
	if err := exec.Command("git", "-C", top, "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		Skip("commit " + commit + " is not in the repository's history")
	}
	archive := filepath.Join(dir, "source.tar")
	Expect(exec.Command("git", "-C", top, "archive", "-o", archive, commit).Run()).To(Succeed())
	Expect(exec.Command("tar", "-xf", archive, "-C", dir).Run()).To(Succeed())
	program := filepath.Join(dir, "node-"+commit)
	build := exec.Command("go", "build", "-o", program, "./cmd/tarragondeal-node")
	build.Dir = dir
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

// config publishes a configuration with one route more, which names its version, and
// checks that it is in force at all nodes within upgradeBound.
func (u *upgrade) config(running []*node) {
	u.more = append(u.more, map[string]any{
		"name": fmt.Sprintf("version%d", u.version+1), "host": "x.example", "prefix": fmt.Sprintf("/v%d/", u.version+1),
		"kind": "idempotent", "timeoutMs": 5000, "sloMs": 500, "priority": 1, "service": "records", "maxAttempts": 2,
	})
	u.putConfig()
	u.logf("configuration %d", u.version)
	time.Sleep(upgradeBound)
	u.checkVersion(running)
}

// checkVersion checks that the last version of the configuration is in force. It logs how
// late a version came that was not.
func (u *upgrade) checkVersion(running []*node) {
	var late []*node
	for _, n := range running {
		if r := n.get(fmt.Sprintf("/v%d/x", u.version), "key-a"); r.status == http.StatusNotFound {
			u.logf("VIOLATION: configuration %d is not in force at %s", u.version, n.name)
			late = append(late, n)
		}
	}
	start := time.Now()
	for _, n := range late {
		for time.Since(start) < maxLateness && n.get(fmt.Sprintf("/v%d/x", u.version), "key-a").status == http.StatusNotFound {
			time.Sleep(20 * time.Millisecond)
		}
		u.logf("configuration %d is in force at %s %s after the check at the latest", u.version, n.name, time.Since(start))
	}
}

// drain lets a server say that it leaves for some time, in its entry and in its answers.
func (u *upgrade) drain() {
	leave(u.engine2)
	u.store.put("servers/"+u.engine2.id, u.engine2.entry("model", "draining"))
	from := time.Now()
	time.Sleep(upgradeBound + 500*time.Millisecond)
	u.drained = append(u.drained, drain{server: u.engine2, from: from, to: time.Now()})
	u.engine2.update(func(s *server) { s.leaving = "" })
	u.store.put("servers/"+u.engine2.id, u.engine2.entry("model", "ready"))
}

// checkDrains checks that no request reached a server that had said for upgradeBound
// that it leaves.
func (u *upgrade) checkDrains() {
	for _, d := range u.drained {
		for _, r := range d.server.received() {
			if r.at.After(d.from.Add(upgradeBound)) && r.at.Before(d.to) {
				u.logf("VIOLATION: %s reached %s, %s after it was leaving", r.target, d.server.id, r.at.Sub(d.from))
			}
		}
	}
}

// change makes one change in the deployment while the nodes are of two builds.
func (u *upgrade) change(kind int, running []*node) {
	switch kind {
	case 0:
		u.config(running)
	case 1:
		u.drain()
	case 2:
		u.injectFault(6) // An engine breaks its streams.
	case 3:
		u.injectFault(11) // An engine crashes and starts again.
	}
}

// replace stops a node and starts the other build in its place, with one change before
// it has ended, after it, or both.
func (u *upgrade) replace(k, step int, program string) {
	n := u.nodes[k]
	others := append(append([]*node(nil), u.nodes[:k]...), u.nodes[k+1:]...)
	killed := u.rng.IntN(4) == 0
	u.logf("replacing %s, killed %t", n.name, killed)
	if killed {
		n.kill()
	} else {
		n.signal(syscall.SIGTERM)
		if u.rng.IntN(2) == 0 {
			u.change(step%4, others)
		}
		_ = n.cmd.Wait()
	}
	n.program = program
	n.start()
	Eventually(n.isReady, "10s", "20ms").Should(BeTrue(), n.name)
	u.checkVersion(u.nodes)
	u.change((step+1)%4, u.nodes)
}

// run replaces all nodes under load and returns the violations found.
func (u *upgrade) run(program string) []string {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for c := range soakCallers {
		wg.Go(func() { u.sendRequests(c, done) })
	}
	for step, k := range u.rng.Perm(len(u.nodes)) {
		u.replace(k, step, program)
	}
	close(done)
	wg.Wait()
	u.countContinued()
	u.checkDrains()
	GinkgoWriter.Printf("%+v\n", u.streams)
	Expect(u.streams.Complete).To(BeNumerically(">", 0))
	return u.violations()
}

// largeRoutes returns routes that no caller uses.
func largeRoutes() []any {
	out := make([]any, 0, upgradeRoutes)
	for n := range upgradeRoutes {
		out = append(out, map[string]any{
			"name": fmt.Sprintf("unused%d", n), "host": "y.example", "prefix": fmt.Sprintf("/unused/%d/", n),
			"kind": "idempotent", "timeoutMs": 5000, "sloMs": 500, "priority": 1, "service": "records", "maxAttempts": 2,
		})
	}
	return out
}

// Guards against messages and records of one build that break a guarantee at nodes of
// another one, while a fleet is upgraded or rolled back. TARRAGONDEAL_UPGRADE has the
// commits of the other builds, separated by commas, and TARRAGONDEAL_UPGRADE_SEEDS the
// number of seeds.
var _ = Describe("two builds side by side", func() {
	commits := strings.FieldsFunc(os.Getenv("TARRAGONDEAL_UPGRADE"), func(r rune) bool { return r == ',' })
	if len(commits) == 0 {
		It("violate no guarantee", func() { Skip("TARRAGONDEAL_UPGRADE names no commits") })
	}
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv("TARRAGONDEAL_UPGRADE_SEEDS")); err == nil {
		seeds = n
	}
	for _, commit := range commits {
		for seed := 1; seed <= seeds; seed++ {
			for _, back := range []bool{false, true} {
				It(fmt.Sprintf("violate no guarantee, commit %s, seed %d, rolled back %t", commit, seed, back), func() {
					from, to := buildCommit(commit), ""
					if back {
						from, to = to, from
					}
					u := &upgrade{soak: &soak{rng: rand.New(rand.NewPCG(uint64(seed), 1)), statuses: make(map[string][]int)}}
					u.fleet = newFleetOf(upgradeNodes, from)
					u.more = largeRoutes()
					u.putConfig()
					u.updateEngines(func(x *server) { x.events, x.named, x.signs, x.delay = soakEvents, true, true, soakPause })
					u.waitReady()
					u.mu.Lock()
					u.statuses = make(map[string][]int)
					u.mu.Unlock()
					Expect(u.run(to)).To(BeEmpty(), strings.Join(u.log, "\n"))
				})
			}
		}
	}
})
