package vm_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stop sends SIGSTOP to the process, and returns a function that lets it go on.
func (n *node) stop() (resume func()) {
	GinkgoHelper()
	n.signal(syscall.SIGSTOP)
	return func() { n.signal(syscall.SIGCONT) }
}

var _ = Describe("a node that stood still during a release", func() {
	for _, c := range []struct {
		nodes int
		still time.Duration // How long the node stands still.
	}{
		{3, time.Second},
		{3, 1500 * time.Millisecond},
		{3, 4 * time.Second},
		{11, 1500 * time.Millisecond},
	} {
		// Guards against a stream that goes on at the only version that the node knows of, since its
		// list of servers was confirmed just before it stood still.
		It(fmt.Sprintf("resumes no stream at another version, %d nodes, %v", c.nodes, c.still), func() {
			f := newVersionFleet(c.nodes, "v1", "v1")
			still := f.nodes[c.nodes-1]
			for range 3 {
				f.release("v2", 2)
				began := f.nodes[0]
				goOn := still.stop()
				from := time.Now()
				for _, s := range f.engines[:2] {
					f.unlist(s)
				}
				for _, s := range f.engines[2:] {
					f.list(s)
				}
				time.Sleep(250 * time.Millisecond) // The other nodes know the new servers only.
				broken, _ := f.beginStreams(began, 12, began.kill)
				Expect(broken).NotTo(BeEmpty())
				answers := make([]reply, len(broken))
				var wg sync.WaitGroup
				for k, s := range broken {
					wg.Go(func() { answers[k] = resume(still, s) })
				}
				time.Sleep(time.Until(from.Add(c.still)))
				goOn()
				wg.Wait()
				for k, s := range broken {
					r := answers[k]
					Expect(versionsOf(s.body)).To(Equal([]string{"v2"}), s.body)
					Expect(versionsOf(s.body+r.body)).To(HaveLen(1), "%s\n%s", s.body, r.body)
					Expect(r.status).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable), r.body)
				}
				f.restore(began)
			}
		})
	}
})

// release adds engines of a version that are not listed yet.
func (f *versionFleet) release(version string, count int) {
	for range count {
		s := newServer(fmt.Sprintf("i-engine-%d", requests.Add(1)))
		s.version, s.signs, s.events, s.delay = version, true, versionEvents, versionPause
		DeferCleanup(func() {
			s.srv.CloseClientConnections()
			s.srv.Close()
		})
		f.engines = append(f.engines, s)
	}
}

// restore makes the fleet as it was: all nodes run and have known only the first engines since
// their start.
func (f *versionFleet) restore(killed *node) {
	GinkgoHelper()
	for _, s := range f.engines[2:] {
		f.unlist(s)
		s.srv.CloseClientConnections()
	}
	f.engines = f.engines[:2]
	for _, s := range f.engines {
		f.list(s)
	}
	for _, n := range f.nodes {
		if n != killed {
			n.kill()
		}
	}
	f.store.remove("tarragondeal/held/software")
	f.startAll(true)
	time.Sleep(300 * time.Millisecond)
}
