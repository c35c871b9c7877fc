package vm_test

import (
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a node on the platform", func() {
	It("serves each kind of request as its route says", func() {
		f := newFleet(2)
		f.settled()
		for _, c := range []struct {
			name, method, target, key string
			status                    int
			body                      string
		}{
			{"idempotent", http.MethodGet, "/look/a%2Fb?q=1", "key-a", http.StatusOK, "done by i-plain"},
			{"non-idempotent", http.MethodPost, "/book/1", "key-b", http.StatusOK, "done by i-plain"},
			{"stream", http.MethodPost, "/chat/1", "key-a", http.StatusOK, events(1, 5)},
			{"unknown path", http.MethodGet, "/none/", "key-a", http.StatusNotFound, ""},
			{"unknown key", http.MethodGet, "/look/1", "key-x", http.StatusUnauthorized, ""},
			{"no key", http.MethodGet, "/look/1", "", http.StatusUnauthorized, ""},
		} {
			for _, n := range f.nodes {
				r := n.send(c.method, c.target, c.key, "")
				Expect(r.err).NotTo(HaveOccurred(), c.name)
				Expect(r.status).To(Equal(c.status), c.name)
				if c.body != "" {
					Expect(r.body).To(Equal(c.body), c.name)
					Expect(r.header.Get("X-Server-Stamp")).To(HavePrefix("stamp-"), c.name)
				}
			}
		}
		for _, a := range f.plain.seen() {
			Expect(a.header.Get("X-Tenant")).To(Equal("acme"))
			Expect(a.header.Get("Authorization")).To(BeEmpty())
		}
		targets := func(a arrival) string { return a.target }
		Expect(f.plain.seen()).To(ContainElement(WithTransform(targets, Equal("/look/a%2Fb?q=1"))))
	})

	It("goes on with a stream that broke at another server", func() {
		f := newFleet(1)
		f.settled()
		for _, s := range []*server{f.engine, f.engine2} {
			s.set(func(s *server) { s.breakAt = 3 })
		}
		r := f.nodes[0].send(http.MethodPost, "/chat/1", "key-a", "")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(events(1, 5)))
	})

	It("says that a request has not run only where it has not", func() {
		f := newFleet(1)
		f.settled()
		f.plain.set(func(s *server) { s.turnAway = true })
		r := f.nodes[0].send(http.MethodPost, "/book/1", "key-a", "")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		f.plain.set(func(s *server) { s.turnAway = false })
		f.plain.srv.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		r = f.nodes[0].send(http.MethodPost, "/book/2", "key-a", "")
		Expect(r.status).To(Equal(http.StatusBadGateway))
	})

	It("reports what began, once for each window", func() {
		f := newFleet(2)
		f.settled()
		before := len(f.plain.seen()) + len(f.engine.seen()) + len(f.engine2.seen())
		for range 10 {
			for _, n := range f.nodes {
				Expect(n.get("/look/1", "key-a").status).To(Equal(http.StatusOK))
			}
		}
		Eventually(func() int64 { return f.store.reported("acme") }, "15s", "50ms").Should(BeEquivalentTo(before + 20))
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		for window, reports := range f.store.reports {
			for _, r := range reports {
				Expect(r).To(Equal(reports[0]), "window %d", window)
			}
		}
	})

	It("takes no more requests with a key that was withdrawn", func() {
		f := newFleet(2)
		f.settled()
		f.keys = []string{"key-b"}
		f.configure()
		for _, n := range f.nodes {
			Eventually(func() int { return n.get("/look/1", "key-a").status }, "2s", "20ms").Should(Equal(http.StatusUnauthorized))
			Expect(n.get("/look/1", "key-b").status).To(Equal(http.StatusOK))
		}
	})

	It("sends nothing to a server that is leaving or gone", func() {
		f := newFleet(1)
		f.settled()
		for _, leave := range []func(){
			func() { f.store.put("servers/i-one", f.engine.entry("model", "draining")) },
			func() { f.store.remove("servers/i-one") },
		} {
			f.store.put("servers/i-one", f.engine.entry("model", "ready"))
			time.Sleep(300 * time.Millisecond)
			leave()
			time.Sleep(500 * time.Millisecond)
			before := len(f.engine.seen())
			for range 20 {
				Expect(f.nodes[0].get("/chat/1", "key-a").status).To(Equal(http.StatusOK))
			}
			Expect(f.engine.seen()).To(HaveLen(before))
		}
	})

	It("goes on while the store is away", func() {
		f := newFleet(2)
		f.settled()
		f.store.setAway(true)
		until := time.Now().Add(4 * time.Second)
		for time.Now().Before(until) {
			for _, n := range f.nodes {
				Expect(n.get("/look/1", "key-a").status).To(Equal(http.StatusOK))
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.keys = []string{"key-b"}
		f.configure()
		f.store.setAway(false)
		Eventually(func() int { return f.nodes[0].get("/look/1", "key-a").status }, "4s", "20ms").Should(Equal(http.StatusUnauthorized))
	})

	It("is not ready and promises nothing before it knows a configuration", func() {
		s := newStore()
		DeferCleanup(s.srv.Close)
		s.setAway(true)
		n := newNode("node-1", s)
		Eventually(func() int { return n.get("/look/1", "key-a").status }, "5s", "20ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(n.isReady()).To(BeFalse())
		Expect(n.told()).To(BeEmpty())
	})

	It("has the last configuration after all nodes were killed", func() {
		f := newFleet(3)
		f.settled()
		f.keys = []string{"key-c"}
		f.configure()
		for _, n := range f.nodes {
			n.kill()
		}
		for _, n := range f.nodes {
			n.start()
		}
		for _, n := range f.nodes {
			Eventually(n.isReady, "10s", "20ms").Should(BeTrue())
			Eventually(func() int { return n.get("/look/1", "key-c").status }, "10s", "20ms").Should(Equal(http.StatusOK))
			Expect(n.get("/look/1", "key-a").status).To(Equal(http.StatusUnauthorized))
		}
	})

	It("cuts no request when it is stopped under load", func() {
		f := newFleet(2)
		f.settled()
		for _, s := range []*server{f.plain, f.engine, f.engine2} {
			s.set(func(s *server) { s.work = 150 * time.Millisecond })
		}
		leaving := f.nodes[0]
		var wg sync.WaitGroup
		var mu sync.Mutex
		var failed []reply
		for c := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				for range 12 {
					target := []string{"/look/1", "/chat/1"}[c%2]
					r := leaving.get(target, "key-a")
					refusedConn := r.err != nil && strings.Contains(r.err.Error(), "refused")
					if r.status != http.StatusOK && !refusedConn {
						mu.Lock()
						failed = append(failed, r)
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		leaving.signal(syscall.SIGTERM)
		Eventually(leaving.isReady, "1s", "10ms").Should(BeFalse())
		Eventually(f.nodes[1].told, "2s", "20ms").ShouldNot(ContainElement(leaving.callers))
		wg.Wait()
		Expect(failed).To(BeEmpty())
		Expect(leaving.cmd.Wait()).To(Succeed())
	})

	It("keeps running when its settings are read again", func() {
		f := newFleet(1)
		f.settled()
		f.nodes[0].signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		Expect(f.nodes[0].get("/look/1", "key-a").status).To(Equal(http.StatusOK))
	})

	It("names the field of a setting that is wrong", func() {
		file := filepath.Join(GinkgoT().TempDir(), "node.toml")
		Expect(os.WriteFile(file, []byte("node = \"n\"\nzone = \"z\"\nip = \"nowhere\"\n"), 0o600)).To(Succeed())
		out, err := exec.Command(binary, "-settings", file).CombinedOutput()
		var exit *exec.ExitError
		Expect(errors.As(err, &exit)).To(BeTrue())
		Expect(exit.ExitCode()).To(Equal(2))
		Expect(string(out)).To(ContainSubstring("field ip"))
	})
})
