package tdbackend

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"tarragondeal"
)

// TestStaleConnIsReplaced guards against a request that may run once and fails as if its
// server had left, since the connections left were idle for too long when the transport chose
// one, and against a new connection for each such request after a pause.
func TestStaleConnIsReplaced(t *testing.T) {
	const maxIdle = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		stale  int  // Connections that are idle for too long.
		raced  bool // The record has another one that the transport doesn't have any more.
		opened int64
	}{
		{"one", 1, false, 2},
		{"one, and one that another request gets first", 1, true, 2},
		{"some", maxKeptTries - 1, false, maxKeptTries},
		{"many", maxKeptTries + 1, false, maxKeptTries + 3},
	} {
		var opened, received atomic.Int64
		release := make(chan struct{})
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if received.Add(1); r.URL.Path == "/wait" {
				<-release
			}
			_, _ = io.WriteString(w, "ok")
		}))
		srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		}
		srv.Start()
		b := NewWith(Options{Verbatim: true})
		server := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String())}
		send := func(path string, once bool) {
			call := tarragondeal.Call{Method: http.MethodPost, Path: path, Host: "h", Body: []byte("b"), DedicatedConn: once}
			if once {
				call.MaxIdle = maxIdle
			}
			answer, err := b.Send(t.Context(), server, call)
			if err != nil {
				t.Errorf("%s: %v", c.name, err)
				return
			}
			if _, err := io.ReadAll(answer.Body); err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
			_ = answer.Body.Close()
		}
		done := make(chan struct{})
		for range c.stale {
			go func() {
				send("/wait", false)
				done <- struct{}{}
			}()
		}
		for received.Load() < int64(c.stale) {
			time.Sleep(time.Millisecond)
		}
		close(release)
		for range c.stale {
			<-done
		}
		time.Sleep(2 * maxIdle)
		if c.raced {
			b.kept.add(&countedConn{kept: b.kept, addr: server.Addr.String()}, nil)
		}
		for range 2 {
			send("/x", true)
			for n := 0; n < 50; n++ { // PutIdleConn is called while the caller goes on.
				if idle, ok := b.IdleConn(server.Addr); ok && idle < maxIdle/2 {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
		if got := opened.Load(); got != c.opened {
			t.Errorf("%s: %d connections, want %d", c.name, got, c.opened)
		}
		if got := received.Load(); got != int64(c.stale)+2 {
			t.Errorf("%s: the server received %d requests, want %d", c.name, got, c.stale+2)
		}
		b.CloseIdle()
		srv.Close()
	}
}
