// Package tddial makes connections that do not stay open unnoticed when the
// other side has fallen silent.
//
// # Usage
//
//	d := tddial.New()
//	client := tddial.Client(d, idlePerHost)
package tddial

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds connecting: a lost first packet is sent again after
	// one second.
	dialTimeout = 1500 * time.Millisecond
	// unacknowledged is how long sent bytes may stay unacknowledged before
	// the connection counts as broken.
	unacknowledged = 1500 * time.Millisecond
	// probeEvery is how often a quiet connection is probed.
	probeEvery = time.Second
	// idleFor is how long an unused connection is kept.
	idleFor = 30 * time.Second
	// bufferBytes is the buffer of a connection in each direction.
	bufferBytes = 4 << 10
)

// New returns a dialer whose connections break when the other side stops
// acknowledging what is sent.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
			if cerr != nil {
				return cerr
			}
			return err
		},
	}
}

// Client returns an HTTP client that keeps up to idlePerHost unused
// connections to one address, and follows no redirect.
func Client(d *net.Dialer, idlePerHost int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleFor,
			DisableCompression: true, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
