package tdsite

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/platform/tdwire"
)

func TestSite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Site")
}

// serverWith returns a backend server that responds with body to each request.
func serverWith(body string) tarragondeal.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body))
	}))
	DeferCleanup(s.Close)
	return tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}
}

var _ = Describe("Load", func() {
	It("decodes a report", func() {
		l, err := New("", http.DefaultClient).Load(context.Background(), serverWith(`{"running":2,"queued":1,"slots":8,"age":5}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(l).To(Equal(tarragondeal.Load{Server: "s", Running: 2, Queued: 1, Slots: 8, Age: 5}))
	})

	for _, c := range []struct{ name, body string }{
		{"with negative running requests", `{"running":-1}`},
		{"with a negative queue length", `{"queued":-1}`},
		{"with negative slots", `{"slots":-1}`},
		{"with a negative age", `{"age":-1}`},
		{"with too many running requests", `{"running":1000001}`},
		{"with too many slots", `{"slots":1000001}`},
		{"that is too long", `{"models":["` + strings.Repeat("m", maxLoadBytes) + `"]}`},
	} {
		It("rejects a report "+c.name, func() {
			_, err := New("", http.DefaultClient).Load(context.Background(), serverWith(c.body))
			var p *tarragondeal.PlatformError
			Expect(errors.As(err, &p)).To(BeTrue())
			Expect(p.Status).To(Equal(http.StatusOK))
			Expect(len(p.Error())).To(BeNumerically("<", 300))
		})
	}
})

var _ = Describe("a call to a backend server", func() {
	It("does not follow a redirect", func() {
		reached := false
		other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
		DeferCleanup(other.Close)
		first := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
		DeferCleanup(first.Close)
		srv := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(first.Listener.Addr().String())}
		site := New("", http.DefaultClient)
		_, err := site.Load(context.Background(), srv)
		Expect(err).To(HaveOccurred())
		Expect(site.OrderEngine(context.Background(), tarragondeal.EngineOrder{Server: srv})).NotTo(Succeed())
		Expect(reached).To(BeFalse())
	})
})

// FuzzLoad checks that accepted load reports have numbers in range.
func FuzzLoad(f *testing.F) {
	for _, seed := range []string{``, `{}`, `null`, `{"running":2,"queued":1,"slots":8,"age":5}`, `{"slots":-1}`, `{"models":[""]}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		l, err := decodeLoad(http.StatusOK, in)
		if err != nil {
			return
		}
		if min(l.Running, l.Queued, l.Slots) < 0 || max(l.Running, l.Queued, l.Slots) > maxLoadCount || l.Age < 0 {
			t.Fatalf("%q decoded as %+v", in, l)
		}
	})
}

// FuzzAnswer checks that a response of the platform is decoded exactly if its
// status is 200 and its body is valid.
func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte(`[{"name":"s1","kind":"server","addr":"10.0.0.1:80"}]`))
	f.Add(409, []byte(`{"fence":7}`))
	f.Add(500, []byte(`x`))
	f.Add(200, []byte(`[{"addr":"x"}]`))
	f.Fuzz(func(t *testing.T, status int, in []byte) {
		var vms []tdwire.VM
		err := decode("list VMs", status, in, &vms)
		if (err == nil) != (status == http.StatusOK && json.Unmarshal(in, new([]tdwire.VM)) == nil) {
			t.Fatalf("status %d with %q: %v", status, in, err)
		}
	})
}
