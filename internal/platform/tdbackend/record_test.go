package tdbackend

import (
	"net"
	"net/http/httptrace"
	"sync"
	"testing"
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
	k := newKeptConns()
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
	k := newKeptConns()
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
