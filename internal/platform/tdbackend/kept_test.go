package tdbackend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/platform/tdbackend"
)

// TestKeptConnections guards against a new connection for each request that may run once, and
// against one that is sent on a connection which its server may just be closing.
func TestKeptConnections(t *testing.T) {
	const maxIdle = 200 * time.Millisecond
	for _, c := range []struct {
		name    string
		once    bool // The request may run once.
		maxIdle time.Duration
		pause   time.Duration // Before each request but the first.
		close   bool          // The server closes its connections after each answer.
		opened  int64
	}{
		{"may be repeated", false, 0, 0, false, 1},
		{"once, not permitted", true, 0, 0, false, 3},
		{"once, used a short time ago", true, maxIdle, 0, false, 1},
		{"once, idle for long", true, maxIdle, 2 * maxIdle, false, 3},
		{"once, closed by the server", true, maxIdle, 20 * time.Millisecond, true, 3},
	} {
		var opened atomic.Int64
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if c.close {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, "ok")
		}))
		srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		}
		srv.Start()
		b := tdbackend.NewWith(tdbackend.Options{Verbatim: true})
		server := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String())}
		for n := range 3 {
			if n > 0 {
				time.Sleep(c.pause)
			}
			answer, err := b.Send(context.Background(), server, tarragondeal.Call{
				ID: "q", Method: http.MethodPost, Path: "/x", Host: "h", Body: []byte("b"), DedicatedConn: c.once, MaxIdle: c.maxIdle,
			})
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			if _, err := io.ReadAll(answer.Body); err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
			_ = answer.Body.Close()
			awaitIdle(b, server)
		}
		if got := opened.Load(); got != c.opened {
			t.Errorf("%s: %d connections, want %d", c.name, got, c.opened)
		}
		srv.Close()
	}
}

// awaitIdle waits until the backend has an idle connection to a server, for a short time: it
// may keep none.
func awaitIdle(b *tdbackend.Backend, s tarragondeal.Server) {
	for range 50 {
		if _, ok := b.IdleConn(s.Addr); ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
