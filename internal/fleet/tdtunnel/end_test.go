package tdtunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// endingConn is a connection to a server that ends its side once a write has begun. The
// write returns err after the given time.
type endingConn struct {
	net.Conn
	err   error
	after time.Duration // Negative means that the end is read after the write has returned.
	begun chan struct{}
	once  sync.Once
}

func (c *endingConn) Write(b []byte) (int, error) {
	defer c.once.Do(func() { close(c.begun) })
	if c.after >= 0 {
		c.once.Do(func() { close(c.begun) })
		time.Sleep(c.after)
	}
	if c.err != nil {
		return 0, c.err
	}
	return len(b), nil
}

func (c *endingConn) Read([]byte) (int, error) {
	<-c.begun
	if c.after < 0 {
		time.Sleep(20 * time.Millisecond)
	}
	return 0, io.EOF
}

// TestEndUnderUpload guards against a part of an answer that looks complete at the other node:
// the server resets the connection while the request is written, the write gets the reset, and
// the read gets a regular end.
func TestEndUnderUpload(t *testing.T) {
	for _, c := range []struct {
		name  string
		err   error
		after time.Duration
		clean bool
	}{
		{"the write has succeeded", nil, -1, true},
		{"the write succeeds soon", nil, 20 * time.Millisecond, true},
		{"the write has got the reset", syscall.ECONNRESET, -1, false},
		{"the write gets the reset soon", syscall.ECONNRESET, 20 * time.Millisecond, false},
		{"the write doesn't return", nil, 500 * time.Millisecond, false},
	} {
		f := newTestFleet(t, 2)
		f.nodes[0].set(true, false)
		f.nodes[1].Direct = func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &endingConn{Conn: inner, err: c.err, after: c.after, begun: make(chan struct{})}, nil
		}
		client, _ := f.dial(t, 0)
		if _, err := client.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		_, err := client.Read(make([]byte, 1))
		if _, broken := errors.AsType[*PeerError](err); c.clean != errors.Is(err, io.EOF) || c.clean == broken {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestEndBeforeUploadIsReceived guards against a part of an answer that looks complete at the
// other node, since the server ends its side while the request is held in the send buffer of
// the connection to it.
func TestEndBeforeUploadIsReceived(t *testing.T) {
	for _, c := range []struct {
		name  string
		size  int
		reads bool
	}{{"not read", 3 << 20, false}, {"read", 3 << 20, true}, {"small", 100, false}} {
		f := newTestFleet(t, 2)
		f.nodes[0].set(true, false)
		client, server := f.dial(t, 0)
		if !c.reads {
			_ = server.(*net.TCPConn).SetReadBuffer(16 << 10)
		}
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = client.Write(make([]byte, c.size))
		}()
		if c.reads {
			if _, err := io.CopyN(io.Discard, server, int64(c.size)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(200 * time.Millisecond) // For the other node to fill the send buffer.
		_ = server.(*net.TCPConn).CloseWrite()
		_, err := client.Read(make([]byte, 1))
		clean := c.reads || c.size < 1<<10
		if _, broken := errors.AsType[*PeerError](err); clean != errors.Is(err, io.EOF) || clean == broken {
			t.Errorf("%s: %v", c.name, err)
		}
		_ = client.Close()
		<-written
	}
}
