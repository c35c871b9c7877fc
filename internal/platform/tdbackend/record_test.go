package tdbackend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

// recorded returns a connection that is recorded in k while it is idle.
func recorded(k *keptConns) *countedConn {
	ours, _ := net.Pipe()
	return &countedConn{Conn: ours, kept: k, addr: "127.0.0.1:9"}
}

// TestClosedConnIsNotRecorded guards against an entry that is never removed: the transport
// reports that a connection is idle after it has closed it, if idle connections are closed
// at that moment.
func TestClosedConnIsNotRecorded(t *testing.T) {
	k := newKeptConns(tdclock.New())
	c, trace := recorded(k), newSendTrace(nil)
	trace.hooks().GotConn(httptrace.GotConnInfo{Conn: c})
	_ = c.Close()
	trace.hooks().PutIdleConn(nil)
	if idle, ok := k.newest(c.addr); ok {
		t.Errorf("a closed connection has been idle for %v", idle)
	}
}

// TestUsedConnIsNotRecorded guards against a connection that is recorded as idle while it is
// used: the transport gives it to the next request while it reports that it is idle.
func TestUsedConnIsNotRecorded(t *testing.T) {
	const tries = 20_000
	k := newKeptConns(tdclock.New())
	wrong := 0
	for range tries {
		c, first, next := recorded(k), newSendTrace(nil), newSendTrace(nil)
		first.hooks().GotConn(httptrace.GotConnInfo{Conn: c})
		var done sync.WaitGroup
		done.Go(func() { first.hooks().PutIdleConn(nil) })
		done.Go(func() { next.hooks().GotConn(httptrace.GotConnInfo{Conn: c, Reused: true}) })
		done.Wait()
		if _, ok := k.newest(c.addr); ok {
			wrong++
		}
		_ = c.Close()
	}
	if wrong > 0 {
		t.Errorf("%d of %d connections are recorded as idle while they are used", wrong, tries)
	}
}

// TestUnusedConnAges guards against a request that may run once and is sent on a connection
// that was idle for longer than permitted since it was opened: the request for which it was
// opened got another one, which became idle first.
func TestUnusedConnAges(t *testing.T) {
	const maxIdle = 50 * time.Millisecond
	release, arrived := make(chan struct{}), make(chan struct{}, 9)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			arrived <- struct{}{}
			<-release
		case "/last":
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.RemoteAddr)
	}))
	srv.Start()
	defer srv.Close()
	var dialled atomic.Int64
	second := make(chan struct{})
	var opened sync.Map // The time at which each connection was opened, by its local address.
	b := NewWith(Options{Verbatim: true, Dial: func(_ context.Context, network, addr string) (net.Conn, error) {
		if dialled.Add(1) == 2 {
			arrived <- struct{}{}
			<-second
		}
		c, err := net.Dial(network, addr)
		if err == nil {
			opened.Store(c.LocalAddr().String(), time.Now())
		}
		return c, err
	}})
	server := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	send := func(path string, maxIdle time.Duration) (string, error) {
		answer, err := b.Send(t.Context(), server, tarragondeal.Call{
			Method: http.MethodPost, Path: path, Host: "h", Body: []byte("b"), DedicatedConn: maxIdle > 0, MaxIdle: maxIdle,
		})
		if err != nil {
			return "", err
		}
		defer func() { _ = answer.Body.Close() }()
		body, err := io.ReadAll(answer.Body)
		return string(body), err
	}
	var done sync.WaitGroup
	done.Go(func() { _, _ = send("/wait", 0) })
	<-arrived
	done.Go(func() { _, _ = send("/last", 0) })
	<-arrived
	close(release)
	done.Wait()
	close(second)
	time.Sleep(4 * maxIdle)
	from, err := send("/x", maxIdle)
	at, ok := opened.Load(from)
	if err != nil || !ok {
		t.Fatalf("sent from %q: %v", from, err)
	}
	if age := time.Since(at.(time.Time)); age > 2*maxIdle {
		t.Errorf("sent on a connection that was opened %v before and not used, at most %v are permitted", age, maxIdle)
	}
}
