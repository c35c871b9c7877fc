package tdfront_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdfront"
	"tarragondeal/internal/entry/tdkey"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Front")
}

// fakeNode implements the dependencies of a Front.
type fakeNode struct {
	view           *tarragondeal.View
	admitErr       error
	requests       []*tdflow.Request
	hold           chan struct{} // If not nil, Run blocks until it is closed.
	breaks         bool          // Run breaks the connection in the answer.
	arrived        chan struct{}
	releasedTokens int
}

func (o *fakeNode) View() *tarragondeal.View  { return o.view }
func (o *fakeNode) Changed() <-chan struct{}  { return nil }
func (o *fakeNode) Self() tarragondeal.Member { return o.Members()[0] }
func (o *fakeNode) Members() []tarragondeal.Member {
	return []tarragondeal.Member{{DataCentre: "duluth", Entry: netip.MustParseAddrPort("10.0.0.1:80")}}
}
func (o *fakeNode) Admit(*tarragondeal.Workspace, *tarragondeal.Key, *tarragondeal.Route, int) (func(int), error) {
	return func(tokens int) { o.releasedTokens = tokens }, o.admitErr
}
func (o *fakeNode) Run(_ context.Context, w http.ResponseWriter, q *tdflow.Request) error {
	o.requests = append(o.requests, q)
	if o.hold != nil {
		o.arrived <- struct{}{}
		<-o.hold
	}
	q.Tokens = 7
	_, err := w.Write([]byte("served"))
	if o.breaks {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return err
}

var _ = Describe("the front", func() {
	var (
		o     *fakeNode
		front *tdfront.Front
		key   string
	)

	BeforeEach(func() {
		text, stored, err := tdkey.Issue("k", "auditors")
		Expect(err).NotTo(HaveOccurred())
		key = text
		o = &fakeNode{view: tarragondeal.NewView(1, &tarragondeal.Set{
			DataCentres:    []tarragondeal.DataCentre{{Name: "duluth"}},
			ServerPools:    []tarragondeal.ServerPool{{Name: "m", Kind: tarragondeal.PoolModel}, {Name: "s", Kind: tarragondeal.PoolService}},
			RequestClasses: []tarragondeal.RequestClass{{Name: "c"}},
			Workspaces:     []tarragondeal.Workspace{{Name: "auditors"}, {Name: "house"}},
			Routes: []tarragondeal.Route{
				{Name: "narrate", Class: "c", Pools: []string{"m"}},
				{Name: "private", Class: "c", Pools: []string{"m"}, Workspaces: []string{"house"}},
				{Name: "help", Class: "c", Pools: []string{"m"}, Open: true, BilledTo: "house"},
				{Name: "enter", Class: "c", Pools: []string{"s"}, NonIdempotent: true},
			},
			Keys: []tarragondeal.Key{stored},
		})}
		front = tdfront.New(tdfront.Deps{
			Config: o, Limiter: o, Flow: o, Addresses: tdaddress.New(o, o, time.Second), Clock: tdclock.New(),
		}, tdfront.Options{MaxBody: 1 << 10, BodyTimeout: time.Minute, MaxOpenPerKey: 1})
	})

	call := func(method, path, body string, header ...string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		for n := 0; n+1 < len(header); n += 2 {
			r.Header.Add(header[n], header[n+1])
		}
		w := httptest.NewRecorder()
		front.Handler().ServeHTTP(w, r)
		return w
	}
	bearer := func(k string) string { return "Bearer " + k }

	It("passes on an admitted request with only the headers that servers may see", func() {
		w := call("PUT", "/services/enter/a%20b/c?x=1", `{}`, "Authorization", "bearer "+key, "X-Request-Id", "mine",
			"Content-Type", "application/json", "Cookie", "a=b", "X-Forwarded-For", "10.9.9.9", "Idempotency-Key", "i")
		Expect(w.Body.String()).To(Equal("served"))
		q := o.requests[0]
		Expect([]any{q.Method, q.Path, q.IdemKey, q.Workspace.Name}).To(Equal([]any{"PUT", "/a%20b/c?x=1", "i", "auditors"}))
		Expect(q.Header).To(Equal(http.Header{"Content-Type": {"application/json"}}))
		Expect(w.Header().Get("X-Request-Id")).To(Equal("mine"))
		Expect(w.Header().Get("X-Routed-Request-Id")).To(Equal(string(q.ID)))
		Expect(string(q.ID)).NotTo(ContainSubstring("mine"))
		Expect(o.releasedTokens).To(Equal(7))
	})

	It("bills an open route to its workspace, whatever key comes with it", func() {
		for _, header := range [][]string{nil, {"Authorization", "Bearer nonsense"}, {"Authorization", bearer(key)}} {
			Expect(call("POST", "/v1/completions", `{"model":"help"}`, header...).Code).To(Equal(200))
		}
		for _, q := range o.requests {
			Expect(q.Workspace.Name).To(Equal("house"))
			Expect(q.Key).To(BeNil())
		}
	})

	It("refuses two Authorization headers", func() {
		Expect(call("POST", "/v1/completions", `{"model":"narrate"}`, "Authorization", bearer(key), "Authorization", bearer(key)).Code).To(Equal(400))
	})

	It("reports ran as unknown for a refused repeat that may have run before", func() {
		o.admitErr = &tarragondeal.RefusedError{Reason: tarragondeal.ReasonLimit, Ran: tarragondeal.RanNot, RetryAfter: time.Second}
		first := call("POST", "/v1/completions", `{"model":"narrate"}`, "Authorization", bearer(key))
		Expect(first.Code).To(Equal(429))
		Expect(first.Body.String()).To(ContainSubstring(`"ran":"notRun"`))
		Expect(first.Header().Get("Retry-After")).NotTo(BeEmpty())
		repeat := call("POST", "/services/enter/x", `{}`, "Authorization", bearer(key), "Idempotency-Key", "i")
		Expect(repeat.Code).To(Equal(429))
		Expect(repeat.Body.String()).To(ContainSubstring(`"ran":"unknown"`))
	})

	It("limits the open requests of one key", func() {
		o.hold, o.arrived = make(chan struct{}), make(chan struct{})
		done := make(chan int, 1)
		go func() {
			done <- call("POST", "/v1/completions", `{"model":"narrate"}`, "Authorization", bearer(key)).Code
		}()
		<-o.arrived
		Expect(front.Open()).To(Equal(1))
		w := call("POST", "/v1/completions", `{"model":"narrate"}`, "Authorization", bearer(key))
		Expect(w.Code).To(Equal(429))
		Expect(w.Body.String()).To(ContainSubstring(`"code":"connections"`))
		close(o.hold)
		Expect(<-done).To(Equal(200))
		Expect(front.Open()).To(BeZero())
	})

	// A caller of HTTP/1.0 took a broken answer for complete.
	It("resets the connection of an HTTP/1.0 caller whose answer breaks", func() {
		o.breaks = true
		srv := httptest.NewServer(front.Handler())
		DeferCleanup(srv.Close)
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.0\r\nContent-Length: 16\r\n\r\n{\"model\":\"help\"}")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(conn)
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(o.requests).To(HaveLen(1))
	})

	It("lists the models that a caller may use", func() {
		Expect(call("GET", "/v1/models", "").Body.String()).To(MatchJSON(`{"object":"list","data":[{"id":"help","object":"model"}]}`))
		w := call("GET", "/v1/models", "", "Authorization", bearer(key))
		Expect(w.Body.String()).To(MatchJSON(`{"object":"list","data":[{"id":"narrate","object":"model"},{"id":"help","object":"model"}]}`))
	})

	It("lists entry addresses and reports health and readiness", func() {
		Expect(call("GET", "/entry?dataCentre=duluth&count=2", "").Body.String()).To(MatchJSON(`{"addresses":["10.0.0.1:80"],"timeToLive":"1s"}`))
		Expect(call("GET", "/entry?count=x", "").Code).To(Equal(400))
		Expect(call("GET", "/readyz", "").Code).To(Equal(200))
		front.Leave()
		Expect(call("GET", "/readyz", "").Code).To(Equal(503))
		Expect(call("GET", "/healthz", "").Code).To(Equal(200))
		Expect(call("GET", "/healthz", "").Header().Get("Connection")).To(Equal("close"))
	})
})
