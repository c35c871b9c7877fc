package vm_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// maxLogLine is the length in bytes that no line of a node's log may have.
const maxLogLine = 8 << 10

// oddFields are fields of a server's entry that another writer may have left.
var oddFields = []string{
	`"addr":"127.0.0.1:0"`, `"addr":"127.0.0.1:70000"`, `"addr":"0.0.0.0:80"`, `"addr":"[::1%lo]:80"`, `"addr":5`,
	`"slots":-5`, `"slots":9223372036854775807`, `"slots":1e400`, `"slots":` + strings.Repeat("9", 1<<19),
	`"coldLeftMs":-1e300`, `"coldLeftMs":1e300`, `"born":9223372036854775807`, `"born":-1`, `"state":"gone"`, `"state":{}`,
	`"version":"` + strings.Repeat("v", 1<<19) + `"`, `"zone":"` + strings.Repeat("z", 1<<19) + `"`,
	`"more":` + strings.Repeat("[", 1<<19),
}

// oddEntry returns the entry of a server with odd fields, which replace its own.
func oddEntry(s *server, odd string) json.RawMessage {
	text, err := json.Marshal(s.entry("model", "ready"))
	Expect(err).NotTo(HaveOccurred())
	return json.RawMessage(strings.TrimSuffix(string(text), "}") + "," + odd + "}")
}

// putRaw writes a key with a value that need not be JSON.
func (s *store) putRaw(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
}

// oddKeys are keys of the store with values that another writer may have left.
func oddKeys(f *fleet) map[string][]byte {
	good := oddEntry(f.engine, `"more":1`)
	out := map[string][]byte{
		"servers/": good, "servers/a/b": good, "servers/" + strings.Repeat("i", 190): good, "servers/a\nb": good, "servers/\u00ff": good,
		"servers/bytes": {0, 0xff, 0xfe}, "servers/empty": {}, "servers/null": []byte("null"), "servers/nested": []byte(strings.Repeat("[", 1<<19)),
	}
	for n, odd := range oddFields {
		out[fmt.Sprintf("servers/odd-%d", n)] = oddEntry(f.engine2, odd)
	}
	for n, value := range []string{"", "null", strings.Repeat("[", 1<<19), `{"name":"odd-4","peer":"0.0.0.0:0","processor":1e308}`, `{"name":5}`} {
		for _, name := range []string{"node", "poison", "origins", "duty", "x"} {
			out[fmt.Sprintf("tarragondeal/held/%s/odd-%d", name, n)] = []byte(value)
		}
	}
	return out
}

var _ = Describe("odd entries of another writer", func() {
	for _, size := range []int{3, 11} {
		// Guards against nodes that end, or no longer follow the store, since another writer left an entry
		// that they can't use, and against requests that are sent to what it names.
		It(fmt.Sprintf("do no harm to %d nodes", size), func() {
			f := newFleet(size)
			f.waitReady()
			pids := make(map[string]int)
			for _, n := range f.nodes {
				pids[n.name] = n.cmd.Process.Pid
			}
			l := f.startLoad("/chat/", 10*time.Millisecond)
			for key, value := range oddKeys(f) {
				f.store.putRaw(key, value)
				time.Sleep(10 * time.Millisecond)
			}
			f.nodes[0].kill() // It lists the store while all of them are there.
			f.nodes[0].start()
			Eventually(f.nodes[0].isReady, "10s", "20ms").Should(BeTrue())
			pids[f.nodes[0].name] = f.nodes[0].cmd.Process.Pid
			for key := range oddKeys(f) {
				f.store.putRaw(key, []byte("{"))
			}
			time.Sleep(200 * time.Millisecond)
			for key := range oddKeys(f) {
				f.store.remove(key)
			}
			f.keys = []string{"key-a", "key-new"}
			f.putConfig()
			for _, n := range f.nodes {
				Eventually(func() int { return n.get("/look/1", "key-new").status }, upgradeBound.String(), "20ms").Should(Equal(http.StatusOK), n.name)
			}
			l.stop()
			for _, n := range f.nodes {
				Expect(n.cmd.Process.Pid).To(Equal(pids[n.name]))
				Expect(n.cmd.Process.Signal(syscall.Signal(0))).To(Succeed(), "%s has ended", n.name)
				n.signal(syscall.SIGTERM)
				_ = n.cmd.Wait()
				for line := range strings.Lines(n.out.String()) {
					Expect(len(line)).To(BeNumerically("<", maxLogLine), "%.300s", line)
				}
			}
		})
	}

	// Guards against odd entries that get requests, as one whose warm-up makes it the cheapest server.
	It("get no requests", func() {
		f := newFleet(3)
		f.waitReady()
		for n, odd := range oddFields {
			f.store.putRaw(fmt.Sprintf("servers/odd-%d", n), oddEntry(f.engine2, odd))
		}
		time.Sleep(noticeTime)
		before := len(f.engine2.received())
		l := f.startLoad("/chat/", 10*time.Millisecond)
		time.Sleep(2 * time.Second)
		statuses := l.stop()
		Expect(statuses).To(HaveLen(1), "%v", statuses)
		for _, r := range f.engine2.received()[before:] {
			Expect(r.header.Get("X-Expect-Instance")).To(Equal(f.engine2.id))
		}
	})
})
