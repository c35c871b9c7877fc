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
	It("serves each kind of request as configured in its route", func() {
		f := newFleet(2)
		f.waitReady()
		for _, c := range []struct {
			name, method, target, key string
			status                    int
			body                      string
		}{
			{"idempotent", http.MethodGet, "/look/a%2Fb?q=1", "key-a", http.StatusOK, "done by i-plain"},
			{"non-idempotent", http.MethodPost, "/book/1", "key-b", http.StatusOK, "done by i-plain"},
			{"stream", http.MethodPost, "/chat/1", "key-a", http.StatusOK, streamBody(1, 5)},
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
		for _, a := range f.plain.received() {
			Expect(a.header.Get("X-Tenant")).To(Equal("acme"))
			Expect(a.header.Get("Authorization")).To(BeEmpty())
		}
		targets := func(a receivedRequest) string { return a.target }
		Expect(f.plain.received()).To(ContainElement(WithTransform(targets, Equal("/look/a%2Fb?q=1"))))
	})

	It("resumes a broken stream at another server", func() {
		f := newFleet(1)
		f.waitReady()
		for _, s := range []*server{f.engine, f.engine2} {
			s.update(func(s *server) { s.breakAfter = 3 })
		}
		r := f.nodes[0].send(http.MethodPost, "/chat/1", "key-a", "")
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(Equal(streamBody(1, 5)))
	})

	It("reports a request as not run only if it did not run", func() {
		f := newFleet(1)
		f.waitReady()
		f.plain.update(func(s *server) { s.reject = true })
		r := f.nodes[0].send(http.MethodPost, "/book/1", "key-a", "")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
		f.plain.update(func(s *server) { s.reject = false })
		f.plain.srv.Config.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		r = f.nodes[0].send(http.MethodPost, "/book/2", "key-a", "")
		Expect(r.status).To(Equal(http.StatusBadGateway))
	})

	It("reports the requests that began, once for each window", func() {
		f := newFleet(2)
		f.waitReady()
		before := len(f.plain.received()) + len(f.engine.received()) + len(f.engine2.received())
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

	It("rejects requests with a withdrawn key", func() {
		f := newFleet(2)
		f.waitReady()
		f.keys = []string{"key-b"}
		f.putConfig()
		for _, n := range f.nodes {
			Eventually(func() int { return n.get("/look/1", "key-a").status }, "2s", "20ms").Should(Equal(http.StatusUnauthorized))
			Expect(n.get("/look/1", "key-b").status).To(Equal(http.StatusOK))
		}
	})

	It("sends nothing to a server that is draining or removed", func() {
		f := newFleet(1)
		f.waitReady()
		for _, withdraw := range []func(){
			func() { f.store.put("servers/i-one", f.engine.entry("model", "draining")) },
			func() { f.store.remove("servers/i-one") },
		} {
			f.store.put("servers/i-one", f.engine.entry("model", "ready"))
			time.Sleep(300 * time.Millisecond)
			withdraw()
			time.Sleep(500 * time.Millisecond)
			before := len(f.engine.received())
			for range 20 {
				Expect(f.nodes[0].get("/chat/1", "key-a").status).To(Equal(http.StatusOK))
			}
			Expect(f.engine.received()).To(HaveLen(before))
		}
	})

	It("serves while the store is unavailable", func() {
		f := newFleet(2)
		f.waitReady()
		f.store.setUnavailable(true)
		until := time.Now().Add(4 * time.Second)
		for time.Now().Before(until) {
			for _, n := range f.nodes {
				Expect(n.get("/look/1", "key-a").status).To(Equal(http.StatusOK))
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.keys = []string{"key-b"}
		f.putConfig()
		f.store.setUnavailable(false)
		Eventually(func() int { return f.nodes[0].get("/look/1", "key-a").status }, "4s", "20ms").Should(Equal(http.StatusUnauthorized))
	})

	It("is not ready and returns no addresses before it has a configuration", func() {
		s := newStore()
		DeferCleanup(s.srv.Close)
		s.setUnavailable(true)
		n := newNode("node-1", s)
		Eventually(func() int { return n.get("/look/1", "key-a").status }, "5s", "20ms").Should(Equal(http.StatusServiceUnavailable))
		Expect(n.isReady()).To(BeFalse())
		Expect(n.resolve()).To(BeEmpty())
	})

	It("applies the latest configuration after all nodes were killed", func() {
		f := newFleet(3)
		f.waitReady()
		f.keys = []string{"key-c"}
		f.putConfig()
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

	It("fails no request when it is stopped under load", func() {
		f := newFleet(2)
		f.waitReady()
		for _, s := range []*server{f.plain, f.engine, f.engine2} {
			s.update(func(s *server) { s.delay = 150 * time.Millisecond })
		}
		stopping := f.nodes[0]
		var wg sync.WaitGroup
		var mu sync.Mutex
		var failed []reply
		for c := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				for range 12 {
					target := []string{"/look/1", "/chat/1"}[c%2]
					r := stopping.get(target, "key-a")
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
		stopping.signal(syscall.SIGTERM)
		Eventually(stopping.isReady, "1s", "10ms").Should(BeFalse())
		Eventually(f.nodes[1].resolve, "2s", "20ms").ShouldNot(ContainElement(stopping.callers))
		wg.Wait()
		Expect(failed).To(BeEmpty())
		Expect(stopping.cmd.Wait()).To(Succeed())
	})

	// Guards against requests accepted so late that the grace period ends before they do.
	It("fails no request of callers that send until it has stopped", func() {
		f := newFleet(2)
		f.waitReady()
		for _, s := range []*server{f.plain, f.engine, f.engine2} {
			s.update(func(s *server) { s.delay = 250 * time.Millisecond })
		}
		stopping := f.nodes[0]
		until := time.Now().Add(20 * time.Second)
		var wg sync.WaitGroup
		var mu sync.Mutex
		var served int
		var failed []reply
		for c := range 8 {
			wg.Go(func() {
				defer GinkgoRecover()
				for time.Now().Before(until) {
					r := stopping.get([]string{"/look/1", "/chat/1"}[c%2], "key-a")
					if r.err != nil && strings.Contains(r.err.Error(), "refused") {
						return
					}
					mu.Lock()
					if r.status == http.StatusOK && r.err == nil {
						served++
					} else {
						failed = append(failed, r)
					}
					mu.Unlock()
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		stopping.signal(syscall.SIGTERM)
		wg.Wait()
		Expect(failed).To(BeEmpty())
		Expect(served).To(BeNumerically(">", 16))
		Expect(stopping.cmd.Wait()).To(Succeed())
	})

	It("keeps running when its settings are reloaded", func() {
		f := newFleet(1)
		f.waitReady()
		f.nodes[0].signal(syscall.SIGHUP)
		time.Sleep(300 * time.Millisecond)
		Expect(f.nodes[0].get("/look/1", "key-a").status).To(Equal(http.StatusOK))
	})

	It("names the field of an invalid setting", func() {
		file := filepath.Join(GinkgoT().TempDir(), "node.toml")
		Expect(os.WriteFile(file, []byte("node = \"n\"\nzone = \"z\"\nip = \"nowhere\"\n"), 0o600)).To(Succeed())
		out, err := exec.Command(binary, "-settings", file).CombinedOutput()
		var exit *exec.ExitError
		Expect(errors.As(err, &exit)).To(BeTrue())
		Expect(exit.ExitCode()).To(Equal(2))
		Expect(string(out)).To(ContainSubstring("field ip"))
	})
})
