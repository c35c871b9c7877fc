package vm_test

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	versionEvents = 50
	versionPause  = 20 * time.Millisecond
	// announceTime is enough for the announcement of a stream to reach all nodes.
	announceTime = 400 * time.Millisecond
)

// versionFleet is a fleet whose engines run several versions of their software.
type versionFleet struct {
	*fleet
	engines []*server
}

// newVersionFleet starts a fleet with one engine for each of the versions.
func newVersionFleet(nodes int, versions ...string) *versionFleet {
	f := &versionFleet{fleet: newFleet(nodes)}
	for n, version := range versions {
		s := newServer(fmt.Sprintf("i-engine-%d", n))
		s.version, s.signs, s.events, s.delay = version, true, versionEvents, versionPause
		DeferCleanup(func() {
			s.srv.CloseClientConnections()
			s.srv.Close()
		})
		f.engines = append(f.engines, s)
		f.list(s)
	}
	f.store.remove("servers/" + f.engine.id)
	f.store.remove("servers/" + f.engine2.id)
	f.waitReady()
	time.Sleep(300 * time.Millisecond) // The nodes know all servers.
	return f
}

func (f *versionFleet) list(s *server)   { f.store.put("servers/"+s.id, s.entry("model", "ready")) }
func (f *versionFleet) unlist(s *server) { f.store.remove("servers/" + s.id) }

// breakAfter makes all engines break streams after an event, and continue streams that
// are resumed after it.
func (f *versionFleet) breakAfter(event int) {
	for _, s := range f.engines {
		s.update(func(s *server) { s.breakAfter = event })
	}
}

var eventVersion = regexp.MustCompile(` by (\S+)`)

// versionsOf returns the versions whose events a body holds.
func versionsOf(body string) []string {
	var out []string
	for _, m := range eventVersion.FindAllStringSubmatch(body, -1) {
		if !slices.Contains(out, m[1]) {
			out = append(out, m[1])
		}
	}
	return out
}

// lastEvent returns the number of the last event that a body holds completely.
func lastEvent(body string) int {
	whole := body[:max(0, strings.LastIndex(body, "\n\n"))]
	return strings.Count(whole, "data: piece")
}

// begun is a stream that a caller has in part.
type begun struct {
	id   string
	body string
}

// received returns the number of requests that the engines have received.
func (f *versionFleet) received() int {
	n := 0
	for _, s := range f.engines {
		n += len(s.received())
	}
	return n
}

// startAll starts all nodes again and waits until they are ready.
func (f *versionFleet) startAll(firstStart bool) {
	GinkgoHelper()
	for _, n := range f.nodes {
		n.setFirstStart(firstStart)
		n.start()
	}
	for _, n := range f.nodes {
		Eventually(n.isReady, "10s", "20ms").Should(BeTrue())
		Eventually(n.resolve, "10s", "20ms").Should(HaveLen(len(f.nodes)))
	}
}

// beginStreams requests streams from a node, calls midway while they run, and returns
// those that broke after some events, and the number of those that began.
func (f *versionFleet) beginStreams(n *node, count int, midway func()) (broken []begun, began int) {
	GinkgoHelper()
	type result struct {
		begun
		err error
	}
	results := make(chan result, count)
	before := f.received()
	for k := range count {
		go func() {
			id := fmt.Sprintf("v%d", requests.Add(1))
			r := n.sendStream(fmt.Sprintf("/chat/%d", k), map[string]string{"X-Request-Id": id})
			results <- result{begun{id, r.body}, r.err}
		}()
	}
	// A slow server may have made a node ask another one as well.
	Eventually(f.received, "5s", "5ms").Should(BeNumerically(">=", before+count))
	time.Sleep(announceTime)
	midway()
	for range count {
		r := <-results
		if r.body != "" {
			began++
		}
		if r.err != nil && lastEvent(r.body) > 0 {
			broken = append(broken, r.begun)
		}
	}
	return broken, began
}

// resume takes a stream up at a node and returns the answer.
func resume(n *node, s begun, headers ...string) reply {
	all := map[string]string{"Last-Event-Id": strconv.Itoa(lastEvent(s.body)), "Resumes": s.id}
	for k := 0; k+1 < len(headers); k += 2 {
		all[headers[k]] = headers[k+1]
	}
	return n.sendStream("/chat/1", all)
}

// expectResumed resumes streams at a node. None may hold events of two versions, and
// at least half of them must go on.
func expectResumed(n *node, streams []begun) {
	GinkgoHelper()
	Expect(streams).NotTo(BeEmpty())
	answers := make([]reply, len(streams))
	var wg sync.WaitGroup
	for k, s := range streams {
		wg.Go(func() { answers[k] = resume(n, s) })
	}
	wg.Wait()
	ended := 0
	for k, s := range streams {
		r := answers[k]
		Expect(versionsOf(s.body+r.body)).To(HaveLen(1), "%s\n%s", s.body, r.body)
		if r.status == http.StatusOK && r.err == nil {
			Expect(lastEvent(s.body) + lastEvent(r.body)).To(Equal(versionEvents))
			ended++
		}
	}
	Expect(ended).To(BeNumerically(">=", (len(streams)+1)/2), "of %d streams", len(streams))
}

var _ = Describe("streams of several software versions", func() {
	// Guards against a node that continues a broken stream at a server of another version.
	It("are continued by a node at the version that began them", func() {
		f := newVersionFleet(1, "v1", "v1", "v2", "v2", "v2")
		f.breakAfter(3)
		for n := range 20 {
			r := f.nodes[0].sendStream(fmt.Sprintf("/chat/%d", n), nil)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(versionsOf(r.body)).To(HaveLen(1), r.body)
			Expect(lastEvent(r.body)).To(Equal(versionEvents), r.body)
		}
	})

	// Guards against a stream that is joined with another version's since no server of
	// its own is left.
	It("break off if the version that began them serves no longer", func() {
		f := newVersionFleet(2, "v1", "v2", "v2")
		old := f.engines[0]
		broken, began := f.beginStreams(f.nodes[0], 12, func() {
			f.unlist(old)
			time.Sleep(100 * time.Millisecond)
			old.srv.CloseClientConnections()
		})
		Expect(began).To(Equal(12))
		Expect(broken).NotTo(BeEmpty())
		for _, s := range broken {
			Expect(versionsOf(s.body)).To(Equal([]string{"v1"}), s.body)
			for _, n := range f.nodes {
				r := resume(n, s)
				Expect(r.status).To(Equal(http.StatusServiceUnavailable), r.body)
				Expect(r.body).To(ContainSubstring("noServerOfVersion"))
				Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		}
	})

	for _, size := range []int{3, 11} {
		// Guards against a stream that goes on at another version since the node that
		// began it is gone.
		It(fmt.Sprintf("are resumed at the version that began them after their node was killed, %d nodes", size), func() {
			f := newVersionFleet(size, "v1", "v1", "v2", "v2", "v2")
			for _, n := range []*node{f.nodes[0], f.nodes[size-2]} { // In a large fleet a relay and a leaf.
				broken, _ := f.beginStreams(n, 16, n.kill)
				expectResumed(f.nodes[size-1], broken)
				n.start()
				Eventually(n.isReady, "10s", "20ms").Should(BeTrue())
				Eventually(n.resolve, "10s", "20ms").Should(HaveLen(size))
			}
		})
	}

	// Guards against an event of another version in a stream that is taken up twice, or
	// while its first run goes on.
	It("are resumed at the version that began them however often", func() {
		f := newVersionFleet(3, "v1", "v1", "v2", "v2")
		broken, _ := f.beginStreams(f.nodes[0], 4, f.nodes[0].kill)
		Expect(broken).NotTo(BeEmpty())
		for _, s := range broken {
			f.breakAfter(lastEvent(s.body) + 2)
			for _, n := range f.nodes[1:] {
				for range 2 {
					r := resume(n, s)
					Expect(versionsOf(s.body+r.body)).To(HaveLen(1), "%s\n%s", s.body, r.body)
				}
			}
			f.breakAfter(0)
		}
	})

	// Guards against a version that is assumed for a stream without a record.
	It("are not resumed if it isn't known which version began them", func() {
		f := newVersionFleet(2, "v1", "v2")
		broken, _ := f.beginStreams(f.nodes[0], 4, f.nodes[0].kill)
		Expect(broken).NotTo(BeEmpty())
		known := broken[0]
		for _, c := range []struct {
			name    string
			stream  begun
			headers []string
		}{
			{"an id that was never used", begun{"unknown", known.body}, nil},
			{"no id", begun{"", known.body}, nil},
			{"an id of another workspace", known, []string{"Authorization", "Bearer key-other"}},
		} {
			r := resume(f.nodes[1], c.stream, c.headers...)
			Expect(r.status).To(Equal(http.StatusServiceUnavailable), "%s: %s", c.name, r.body)
			Expect(r.body).To(ContainSubstring("unknownVersion"), c.name)
			Expect(r.header.Get("Retry-After")).NotTo(BeEmpty(), c.name)
		}
		Expect(resume(f.nodes[1], known).status).To(Equal(http.StatusOK))
	})

	// Guards against a guess after all nodes that knew the version were killed.
	It("are not resumed at another version after all nodes were killed", func() {
		f := newVersionFleet(3, "v1", "v1", "v2", "v2")
		broken, _ := f.beginStreams(f.nodes[0], 12, func() {
			for _, n := range f.nodes {
				n.kill()
			}
		})
		Expect(broken).NotTo(BeEmpty())
		for _, n := range f.nodes {
			n.start()
		}
		for _, n := range f.nodes {
			Eventually(n.isReady, "10s", "20ms").Should(BeTrue())
		}
		for _, s := range broken {
			r := resume(f.nodes[0], s)
			Expect(versionsOf(s.body+r.body)).To(HaveLen(1), "%s\n%s", s.body, r.body)
		}
	})

	for _, c := range []struct {
		name       string
		firstStart bool          // As the settings of the nodes that start again have it.
		wait       time.Duration // From the start to the caller's return.
	}{
		{"at once", false, 0},
		{"at once, and the settings still say that the deployment is new", true, 0},
		{"twice the deadline later", false, 11 * time.Second},
	} {
		// Guards against a stream that is joined with another version's since the one that began it left
		// while no node was there to see it.
		It("are not resumed at another version if theirs left while all nodes were down; callers return "+c.name, func() {
			f := newVersionFleet(3, "v1", "v1", "v2", "v2")
			broken, _ := f.beginStreams(f.nodes[0], 24, func() {
				for _, n := range f.nodes {
					n.kill()
				}
			})
			broken = slices.DeleteFunc(broken, func(s begun) bool { return versionsOf(s.body)[0] != "v1" })
			Expect(broken).NotTo(BeEmpty())
			f.unlist(f.engines[0])
			f.unlist(f.engines[1])
			f.startAll(c.firstStart)
			time.Sleep(c.wait)
			for k, s := range broken {
				r := resume(f.nodes[k%len(f.nodes)], s)
				Expect(versionsOf(s.body+r.body)).To(HaveLen(1), "%s\n%s", s.body, r.body)
				Expect(r.status).To(Equal(http.StatusServiceUnavailable))
			}
		})
	}

	// Guards against refusals after all nodes were killed although nothing could be joined: there was
	// one version all the time.
	It("are resumed after all nodes were killed if there was one version only", func() {
		f := newVersionFleet(3, "v1", "v1")
		broken, _ := f.beginStreams(f.nodes[0], 12, func() {
			for _, n := range f.nodes {
				n.kill()
			}
		})
		f.startAll(false)
		for _, n := range f.nodes {
			expectResumed(n, broken)
		}
	})

	// Guards against refusals where all servers have one version: then it began all
	// streams.
	It("are resumed without a known id while there is one version only", func() {
		f := newVersionFleet(2, "v1", "v1")
		broken, _ := f.beginStreams(f.nodes[0], 6, f.nodes[0].kill)
		Expect(broken).NotTo(BeEmpty())
		for _, s := range broken {
			r := resume(f.nodes[1], begun{"unknown", s.body})
			Expect(r.status).To(Equal(http.StatusOK), r.body)
			Expect(lastEvent(s.body) + lastEvent(r.body)).To(Equal(versionEvents))
		}
	})

	// Guards against a stream that goes on at a version that was not there when it began.
	It("are not resumed without a known id right after a release", func() {
		f := newVersionFleet(2, "v1", "v1")
		broken, _ := f.beginStreams(f.nodes[0], 6, f.nodes[0].kill)
		Expect(broken).NotTo(BeEmpty())
		for _, s := range f.engines {
			f.unlist(s)
			s.version = "v2"
			s.id += "-new"
			f.list(s)
		}
		time.Sleep(300 * time.Millisecond)
		for _, s := range broken {
			Expect(resume(f.nodes[1], begun{"unknown", s.body}).status).To(Equal(http.StatusServiceUnavailable))
			Expect(resume(f.nodes[1], s).status).To(Equal(http.StatusServiceUnavailable))
		}
	})
})
