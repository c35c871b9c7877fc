package tdbackend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"tarragondeal"
)

// TestServerLeavesWhileConnecting guards against a request that is written to a server that
// left while the connection was being made, or waited for.
func TestServerLeavesWhileConnecting(t *testing.T) {
	for _, c := range []struct {
		name      string
		warm      bool // A connection is idle.
		dedicated bool
		body      string
	}{
		{name: "new connection"},
		{name: "new connection, body", body: "{}"},
		{name: "idle connection", warm: true},
		{name: "idle connection, body", warm: true, body: "{}"},
		{name: "dedicated connection", dedicated: true, body: "{}"},
	} {
		var received atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
		var left atomic.Bool
		warm := false
		b := NewWith(Options{Verbatim: true, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if !warm {
				time.Sleep(20 * time.Millisecond)
				left.Store(true)
			}
			return new(net.Dialer).DialContext(ctx, network, addr)
		}})
		server := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String())}
		call := tarragondeal.Call{Method: http.MethodGet, Path: "/", Body: []byte(c.body), DedicatedConn: c.dedicated}
		if c.warm {
			warm = true
			answer, err := b.Send(t.Context(), server, call)
			if err != nil {
				t.Fatal(err)
			}
			_ = answer.Body.Close()
			left.Store(true)
			received.Store(0)
		}
		call.MaySend = func() bool { return !left.Load() }
		_, err := b.Send(t.Context(), server, call)
		failed, ok := errors.AsType[*tarragondeal.BackendError](err)
		if !ok || !failed.Revoked || failed.Ran != tarragondeal.RanNot {
			t.Errorf("%s: %v", c.name, err)
		}
		if n := received.Load(); n > 0 {
			t.Errorf("%s: the server received %d requests", c.name, n)
		}
		left.Store(false)
		warm = true
		answer, err := b.Send(t.Context(), server, call)
		if err != nil {
			t.Errorf("%s: later request: %v", c.name, err)
		} else {
			_ = answer.Body.Close()
		}
		b.CloseIdle()
		srv.Close()
	}
}
