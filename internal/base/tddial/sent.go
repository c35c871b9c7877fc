package tddial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ackPollInterval is the time between two looks at the bytes that a connection has not sent.
// The system reports no event when they are acknowledged.
const ackPollInterval = 5 * time.Millisecond

// IsAcknowledged reports whether the peer has acknowledged all bytes written to a connection.
// It waits for that until the deadline. It returns true if that is not known of the connection.
func IsAcknowledged(c net.Conn, deadline time.Time) bool {
	for unacknowledged(c) > 0 {
		left := time.Until(deadline)
		if left <= 0 {
			return false
		}
		time.Sleep(min(left, ackPollInterval))
	}
	return true
}

// unacknowledged returns how many bytes written to a connection its peer has not acknowledged,
// or zero if that is not known.
func unacknowledged(c net.Conn) int {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var n int
	var ierr error
	err = raw.Control(func(fd uintptr) { n, ierr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil || ierr != nil {
		return 0
	}
	return n
}
