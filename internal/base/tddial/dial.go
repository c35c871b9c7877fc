// Package tddial makes connections that are closed soon after the peer stops
// responding.
//
// # Usage
//
//	d := tddial.New()
//	client := tddial.Client(d, idlePerHost)
package tddial

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds connecting. It leaves time for one retransmission of a
	// lost SYN, which is sent after one second.
	dialTimeout = 1500 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the time between probes of an idle connection.
	keepAliveInterval = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// bufferBytes is the buffer size of a connection in each direction.
	bufferBytes = 4 << 10
)

// New returns a dialer whose connections fail when the peer stops acknowledging
// data.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// NewResetting returns a function that dials like New, and whose connections are reset
// when they are closed: bytes of a request that was given up and that are still on their
// way, or held up by the network, must not reach the server later.
func NewResetting() func(ctx context.Context, network, address string) (net.Conn, error) {
	d := New()
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				_ = c.Close()
				return nil, err
			}
		}
		return c, nil
	}
}

// Client returns an HTTP client that keeps up to idlePerHost idle connections
// per address and does not follow redirects.
func Client(d *net.Dialer, idlePerHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout,
			DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
