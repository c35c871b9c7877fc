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

// suspendedClock is a clock that the test advances, as after a suspension of the system, for
// which the monotonic clock stands still.
type suspendedClock struct{ at atomic.Int64 }

func (c *suspendedClock) Now() tarragondeal.Instant { return tarragondeal.Instant(c.at.Load()) }
func (c *suspendedClock) Wall() time.Time           { return time.Now() }

// TestConnAgesWhileSuspended guards against a request that may run once and is sent on a
// connection that was idle while the system was suspended: its server may have closed it.
func TestConnAgesWhileSuspended(t *testing.T) {
	const maxIdle = time.Minute
	for _, c := range []struct {
		name    string
		suspend time.Duration
		opened  int64
	}{{"running", 0, 1}, {"suspended", 2 * maxIdle, 2}} {
		var opened atomic.Int64
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "ok")
		}))
		srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened.Add(1)
			}
		}
		srv.Start()
		clock := &suspendedClock{}
		b := NewWith(Options{Verbatim: true, Clock: clock})
		server := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(srv.Listener.Addr().String())}
		for range 2 {
			answer, err := b.Send(t.Context(), server, tarragondeal.Call{
				Method: http.MethodPost, Path: "/x", Host: "h", Body: []byte("b"), DedicatedConn: true, MaxIdle: maxIdle,
			})
			if err != nil {
				t.Fatalf("%s: %v", c.name, err)
			}
			_, _ = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			for range 1000 { // The connection becomes idle while the answer is read.
				if _, ok := b.IdleConn(server.Addr); ok {
					break
				}
				time.Sleep(time.Millisecond)
			}
			clock.at.Add(int64(c.suspend))
		}
		if got := opened.Load(); got != c.opened {
			t.Errorf("%s: %d connections, want %d", c.name, got, c.opened)
		}
		b.CloseIdle()
		srv.Close()
	}
}
