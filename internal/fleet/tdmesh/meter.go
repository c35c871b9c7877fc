package tdmesh

import (
	"net"
	"sync/atomic"
	"time"

	"tarragondeal"
)

// maxStateTime is how long one state may take to arrive.
const maxStateTime = 3 * time.Second

// meter counts the bytes received on one stream. It is safe for concurrent use.
type meter struct {
	bytes atomic.Uint64 // Received so far.
	at    atomic.Int64  // When the last of them were received, as an Instant; zero before the first.
}

// meteredConn is a connection that counts the bytes received.
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

// lastHeard returns when the peer last showed activity on a direct stream: the time of
// its last complete state, or of the last bytes of one that is being received for less
// than maxStateTime. Earlier versions send a large copy in one state.
func (p *peer) lastHeard() tarragondeal.Instant {
	isMetered := p.received != nil && p.writer != nil && p.writer.openedTo == p.node.Name
	if !isMetered || p.lastState == 0 || p.receivedSinceState() == 0 {
		return p.lastState
	}
	return max(p.lastState, min(tarragondeal.Instant(p.received.at.Load()), p.lastState.Add(maxStateTime)))
}
