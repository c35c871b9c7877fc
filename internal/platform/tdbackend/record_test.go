package tdbackend

import (
	"net"
	"net/http/httptrace"
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
