package tdhost

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/platform"
)

// slowBody is the size of the bodies that are sent to a server which doesn't read.
const slowBody = 1 << 20

// newWorkspaceEntry returns an entry with a route /once/ of the workspaces a and b, whose
// keys have the same names. It has room for 16 bodies of slowBody bytes.
func newWorkspaceEntry(t *testing.T) *entry {
	t.Helper()
	e := newEntry(t)
	e.host.MemoryBytes = 64 * slowBody
	e.host.SetView(tarragondeal.NewView(1, &tarragondeal.Set{
		DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}}, ServerPools: []tarragondeal.ServerPool{{Name: "p"}},
		RequestClasses: []tarragondeal.RequestClass{{Name: "c", Deadline: tarragondeal.Duration(time.Minute)}},
		Workspaces:     []tarragondeal.Workspace{{Name: "a"}, {Name: "b"}},
		Keys:           []tarragondeal.Key{{Name: platform.KeyName("a"), Workspace: "a"}, {Name: platform.KeyName("b"), Workspace: "b"}},
		Routes:         []tarragondeal.Route{{Name: "once", Prefix: "/once/", Host: "x.example", Pools: []string{"p"}, Class: "c", MaxAttempts: 1, NonIdempotent: true}},
	}), platform.CallerLimits{BodyBytes: slowBody})
	return e
}

// upload sends a body of slowBody bytes for a workspace.
func (e *entry) upload(workspace string, chunked bool) answered {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.addr+"/once/1", strings.NewReader(strings.Repeat("x", slowBody)))
	if err != nil {
		return answered{err: err}
	}
	if chunked {
		req.ContentLength = -1
	}
	req.Host = "x.example"
	req.Header.Set("X-Request-Id", "q1")
	req.Header.Set("Authorization", "Bearer "+workspace)
	req.Header.Set("X-Deadline-Ms", "30000")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return answered{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return answered{status: res.StatusCode, body: string(body), header: res.Header, err: err}
}

// TestBodiesOfSlowServer guards against a node whose memory grows with the bodies for a
// server that doesn't read them, and against a workspace whose bodies leave no room for
// those of the others.
func TestBodiesOfSlowServer(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		arrived, release := make(chan struct{}, 64), make(chan struct{})
		slow := newEntry(t, func(_ http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			<-release
			_, _ = io.Copy(io.Discard, r.Body)
		})
		open := sync.OnceFunc(func() { close(release) })
		e := newWorkspaceEntry(t)
		t.Cleanup(open) // Before the servers are closed, which wait for their requests.
		e.reset(slices.Repeat(slow.addrs, 64))
		ends := make(chan answered, 64)
		served := 0
		for _, workspace := range []string{"a", "b"} {
			// While a body of unknown length is copied, both its buffers are taken.
			n := 8
			if chunked {
				n = 7
			}
			for range n {
				go func() { ends <- e.upload(workspace, chunked) }()
				served++
				select {
				case <-arrived:
				case got := <-ends:
					t.Fatalf("chunked %t, request %d, of %s: %+v", chunked, served, workspace, got)
				case <-time.After(10 * time.Second):
					t.Fatalf("chunked %t, request %d, of %s: not sent", chunked, served, workspace)
				}
			}
			began := time.Now()
			for range 2 {
				go func() { ends <- e.upload(workspace, chunked) }()
				select {
				case got := <-ends:
					if got.err != nil || got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, `"overload"`) {
						t.Errorf("chunked %t: more than half of the room, for %s: %+v, error %v", chunked, workspace, got, got.err)
					}
				case <-arrived:
					t.Fatalf("chunked %t: %s has more than half of the room", chunked, workspace)
				}
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("chunked %t: refused after %s", chunked, took)
			}
		}
		open()
		for range served {
			if got := <-ends; got.err != nil || got.status != http.StatusOK {
				t.Errorf("chunked %t: %+v", chunked, got)
			}
		}
		// A request may end a little after its caller has the answer.
		for until := time.Now().Add(2 * time.Second); e.host.bodies.Taken() != 0 && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		if n := e.host.bodies.Taken(); n != 0 {
			t.Errorf("chunked %t: %d bytes are taken after all requests", chunked, n)
		}
	}
}

// TestBodyRoom guards against a room that is far above what a small VM has, or that the
// largest body doesn't fit into.
func TestBodyRoom(t *testing.T) {
	for _, c := range []struct{ memory, body, want int64 }{
		{112 << 20, 4 << 20, 28 << 20},
		{8 << 30, 4 << 20, 2 << 30},
		{0, 4 << 20, 128 << 20},
		{112 << 20, 16 << 20, 64 << 20},
	} {
		h := &Host{Deps: Deps{MemoryBytes: c.memory}}
		if got := h.bodyRoom(c.body); got != c.want {
			t.Errorf("%d bytes of memory, bodies of %d: %d bytes, want %d", c.memory, c.body, got, c.want)
		}
	}
}

// TestSlowUpload guards against a caller that sends its body slowly or not at all and so
// holds a request, and the room for its body, without end.
func TestSlowUpload(t *testing.T) {
	e := newEntry(t)
	c, err := net.Dial("tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "POST /short/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: q1\r\nContent-Length: 9\r\n\r\n{")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusRequestTimeout || !strings.Contains(string(body), `"slowSender"`) {
		t.Errorf("status %d, %s, %v", res.StatusCode, body, err)
	}
}

// TestPipelinedAnswersUnread guards against a connection that is held without end by a caller
// that sends requests and doesn't read: what is buffered when a handler ends was written
// without a deadline.
func TestPipelinedAnswersUnread(t *testing.T) {
	answer := status(http.StatusOK, "text/plain", strings.Repeat("x", 2<<10))
	e := newEntry(t, answer)
	e.reset(slices.Repeat(e.addrs, 1<<16))
	c := e.raw(t, "/plain/1")
	if err := c.SetReadBuffer(connBuffer); err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(writeMargin + 6*time.Second))
	var err error
	for err == nil {
		_, err = io.WriteString(c, "POST /plain/1 HTTP/1.1\r\nHost: x.example\r\nX-Request-Id: q1\r\nContent-Length: 2\r\n\r\n{}")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection stays open: %v", err)
	}
}
