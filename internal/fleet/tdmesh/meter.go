package tdmesh

import (
	"net"
	"sync/atomic"

	"tarragondeal"
)

// meter measures what has been received on one stream. It is safe for concurrent use.
type meter struct {
	bytes atomic.Uint64 // Received so far.
	at    atomic.Int64  // When the last of them were received, as an Instant; zero before the first.
}

// meteredConn is a connection whose received bytes are measured.
type meteredConn struct {
	net.Conn
	clock tarragondeal.Clock
	meter *meter
}

// Read implements io.Reader.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.bytes.Add(uint64(n))
		c.meter.at.Store(int64(c.clock.Now()))
	}
	return n, err
}

// receivedSinceState returns the bytes that have been received on the stream that this
// node opened to the peer since the last whole state.
func (p *peer) receivedSinceState() uint64 {
	if p.received == nil {
		return 0
	}
	return p.received.bytes.Load() - p.bytesAtState
}
