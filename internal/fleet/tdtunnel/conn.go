package tdtunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc"

	"tarragondeal"
)

// chunkBytes is the largest size of a chunk's data.
const chunkBytes = 16 << 10

// PeerError reports that a connection to a server through another node could not be
// made, or broke.
type PeerError struct {
	Peer   tarragondeal.NodeID
	Server tarragondeal.ServerID
	Err    error
}

func (e *PeerError) Error() string {
	return fmt.Sprintf("connection to server %s through node %s: %v", e.Server, e.Peer, e.Err)
}

func (e *PeerError) Unwrap() error { return e.Err }

// conn is a connection to a server through another node. It has no deadlines.
type conn struct {
	stream grpc.BidiStreamingClient[Chunk, Chunk]
	peer   Peer
	server tarragondeal.Server
	end    func()
	once   sync.Once
	unread []byte
}

func newConn(s grpc.BidiStreamingClient[Chunk, Chunk], p Peer, srv tarragondeal.Server, end func()) *conn {
	return &conn{stream: s, peer: p, server: srv, end: end}
}

// Read returns io.EOF only if the server has closed the connection in order.
func (c *conn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		chunk, err := c.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, c.wrap(err)
		}
		c.unread = chunk.GetData()
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *conn) Write(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		part := b[n:min(len(b), n+chunkBytes)]
		if err := c.stream.Send(&Chunk{Data: part}); err != nil {
			return n, c.wrap(err)
		}
		n += len(part)
	}
	return n, nil
}

func (c *conn) wrap(err error) error {
	return &PeerError{Peer: c.peer.Node, Server: c.server.ID, Err: err}
}

// Close closes the connection in both directions.
func (c *conn) Close() error {
	c.once.Do(c.end)
	return nil
}

// Through returns the node through which the connection goes.
func (c *conn) Through() tarragondeal.NodeID { return c.peer.Node }

func (c *conn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.peer.Addr) }
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.server.Addr) }

func (c *conn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *conn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
