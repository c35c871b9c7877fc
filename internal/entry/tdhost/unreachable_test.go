package tdhost

import (
	"net"
	"net/netip"
	"testing"
)

// closedAddr returns an address at which connections are refused.
func closedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestUnreachableServerTakesNoAttempt guards against a request that is refused since
// its only attempt went to a server that has just ended, although nothing was sent.
func TestUnreachableServerTakesNoAttempt(t *testing.T) {
	for _, c := range []struct {
		unreachable int
		served      bool
	}{{1, true}, {2, true}, {3, true}, {4, false}} {
		e := newEntry(t, stream(events(1, 5)))
		for range c.unreachable {
			e.addrs = append([]netip.AddrPort{closedAddr(t)}, e.addrs...)
		}
		got := e.send(t, "/once/1")
		if served := got.err == nil && got.body == events(1, 5); served != c.served {
			t.Errorf("after %d unreachable servers: %+v", c.unreachable, got)
		}
	}
}
