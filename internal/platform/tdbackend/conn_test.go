package tdbackend

import (
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"
)

// endedConn is a connection whose reads return io.EOF, and whose writes return err
// after begun was closed and release was received from.
type endedConn struct {
	net.Conn
	err            error
	begun, release chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write(b []byte) (int, error) {
	if c.begun != nil {
		close(c.begun)
		<-c.release
	}
	return len(b), c.err
}

// TestEndWhileWriting guards against a reset that a write got and that a read takes
// for the regular end of the connection, and against a regular end that is taken for
// a reset since a write that succeeds hasn't returned yet.
func TestEndWhileWriting(t *testing.T) {
	var b [1]byte
	c := &countedConn{Conn: &endedConn{}}
	_, _ = c.Write(b[:])
	if _, err := c.Read(b[:]); !errors.Is(err, io.EOF) {
		t.Errorf("after a write: %v", err)
	}
	c = &countedConn{Conn: &endedConn{err: syscall.ECONNRESET}}
	_, _ = c.Write(b[:])
	if _, err := c.Read(b[:]); !errors.Is(err, errUnsentEnd) {
		t.Errorf("after a failed write: %v", err)
	}
	for _, want := range []error{io.EOF, errUnsentEnd} {
		inner := &endedConn{begun: make(chan struct{}), release: make(chan struct{})}
		if errors.Is(want, errUnsentEnd) {
			inner.err = syscall.ECONNRESET
		}
		c = &countedConn{Conn: inner}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = c.Write(b[:])
		}()
		<-inner.begun
		time.AfterFunc(maxWriteWait/5, func() { close(inner.release) })
		if _, err := c.Read(b[:]); !errors.Is(err, want) {
			t.Errorf("during a write: %v, want %v", err, want)
		}
		<-done
	}
	inner := &endedConn{begun: make(chan struct{}), release: make(chan struct{})}
	c = &countedConn{Conn: inner}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Write(b[:])
	}()
	<-inner.begun
	if _, err := c.Read(b[:]); !errors.Is(err, errUnsentEnd) {
		t.Errorf("during a write that doesn't return: %v", err)
	}
	close(inner.release)
	<-done
	if _, err := c.Read(b[:]); !errors.Is(err, io.EOF) {
		t.Errorf("after that write: %v", err)
	}
}

// TestEndAfterWrite guards against a response without a length that is lost although
// its request was sent: its end is read before the last write has returned.
func TestEndAfterWrite(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error // Of the write.
		want error
	}{{"sent", nil, io.EOF}, {"reset", syscall.ECONNRESET, errUnsentEnd}} {
		inner := &endedConn{err: c.err, begun: make(chan struct{}), release: make(chan struct{})}
		conn := &countedConn{Conn: inner}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = conn.Write(make([]byte, 1))
		}()
		<-inner.begun
		time.AfterFunc(20*time.Millisecond, func() { close(inner.release) })
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		<-done
	}
}

// TestFailedWriteIsNotAwaited guards against the end of an answer that is reported late: the
// request can't be written to the end any more, and nothing is left to wait for.
func TestFailedWriteIsNotAwaited(t *testing.T) {
	trace := newSendTrace(nil)
	trace.hooks().WroteRequest(httptrace.WroteRequestInfo{Err: syscall.ECONNRESET})
	start := time.Now()
	if trace.isWritten() {
		t.Error("a write that failed has written the request")
	}
	if d := time.Since(start); d >= maxWriteWait {
		t.Errorf("waits %v for a write that failed", d)
	}
}
