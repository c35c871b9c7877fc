package tdtunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
	"tarragondeal/internal/base/tddial"
)

const (
	// maxServed bounds the connections that a node makes for others.
	maxServed = 512
	// serveDialTimeout bounds one of them. It is shorter than peerTimeout, so that the
	// other node learns of the failure.
	serveDialTimeout = 250 * time.Millisecond
	// failedTime is how long this node makes no connections for others to a server that
	// it couldn't reach.
	failedTime = 500 * time.Millisecond
	// maxWriteWait is how long the end of a connection waits for a write to return, and for
	// what was written to be acknowledged.
	maxWriteWait = 250 * time.Millisecond
)

// Register adds the service to a gRPC server.
func (t *Tunnels) Register(s grpc.ServiceRegistrar) { RegisterTunnelServer(s, t) }

// Connect implements TunnelServer.
func (t *Tunnels) Connect(s grpc.BidiStreamingServer[Chunk, Chunk]) error {
	if t.served.Add(1) > maxServed {
		t.served.Add(-1)
		return status.Error(codes.ResourceExhausted, "too many connections for other nodes")
	}
	defer t.served.Add(-1)
	first, err := s.Recv()
	if err != nil {
		return err
	}
	c, err := t.dialFor(s.Context(), tarragondeal.ServerID(first.GetServer()))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(s.Context(), func() { _ = c.Close() })()
	if err := s.Send(&Chunk{}); err != nil {
		return err
	}
	up := &upload{Conn: c, writing: make(chan struct{}, 1)}
	ends := make(chan error, 2)
	go func() { ends <- copyToServer(up, s) }()
	go func() { ends <- copyFromServer(s, up) }()
	return <-ends
}

var errUnsentEnd = errors.New("connection ended while data was being written to the server")

// upload is a connection to a server whose reads return errUnsentEnd for the end of the
// connection if a write failed or goes on, or if the server has not received all that was
// written. The system reports a reset only once: if the write
// gets it, the read gets io.EOF, as after a regular end.
type upload struct {
	net.Conn
	writing chan struct{} // Holds an element during a write.
	failed  bool          // A write has failed. Guarded by writing.
}

func (u *upload) Write(b []byte) (int, error) {
	u.writing <- struct{}{}
	defer func() { <-u.writing }()
	n, err := u.Conn.Write(b)
	u.failed = u.failed || err != nil
	return n, err
}

func (u *upload) Read(b []byte) (int, error) {
	n, err := u.Conn.Read(b)
	if errors.Is(err, io.EOF) && !u.isSent() {
		err = errUnsentEnd
	}
	return n, err
}

// isSent waits for a short time and reports whether all writes have succeeded and their data
// has reached the server.
func (u *upload) isSent() bool {
	deadline := time.Now().Add(maxWriteWait)
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case u.writing <- struct{}{}:
		defer func() { <-u.writing }()
		return !u.failed && tddial.IsAcknowledged(u.Conn, deadline)
	case <-timer.C:
		return false
	}
}

// dialFor connects to a server for another node. The error is a status.
func (t *Tunnels) dialFor(ctx context.Context, id tarragondeal.ServerID) (net.Conn, error) {
	t.mu.Lock()
	s, ok := t.servers[id]
	failed := t.isolated()
	if p := t.paths[s.Addr]; ok && p != nil && !failed {
		failed = p.cut || p.failedAt != 0 && t.Clock.Now().Sub(p.failedAt) < failedTime
	}
	t.mu.Unlock()
	switch {
	case !ok:
		return nil, status.Error(codes.NotFound, "server is not listed")
	case failed:
		return nil, status.Error(codes.Unavailable, "server is out of reach of this node")
	case t.leaving.Load():
		return nil, status.Error(codes.Unavailable, "node is leaving")
	}
	ctx, cancel := context.WithTimeout(ctx, serveDialTimeout)
	defer cancel()
	c, err := t.dialDirect(ctx, "tcp", s.Addr.String())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return c, nil
}

// copyToServer copies chunks to a server until the other node ends the stream.
func copyToServer(c net.Conn, s grpc.BidiStreamingServer[Chunk, Chunk]) error {
	for {
		chunk, err := s.Recv()
		if err != nil {
			return err
		}
		if _, err := c.Write(chunk.GetData()); err != nil {
			// What the server has answered before may still be on its way.
			return waitEnd(s, err)
		}
	}
}

// waitEnd waits until the stream ends by the other direction, and returns the error of
// a write to the server.
func waitEnd(s grpc.BidiStreamingServer[Chunk, Chunk], err error) error {
	<-s.Context().Done()
	return status.Error(codes.Aborted, err.Error())
}

// copyFromServer copies bytes of a server until it closes the connection. It returns
// nil if that was in order.
func copyFromServer(s grpc.BidiStreamingServer[Chunk, Chunk], c net.Conn) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			if err := s.Send(&Chunk{Data: buf[:n]}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}
