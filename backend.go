package tarragondeal

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Call is one attempt of a request at a backend server. It does not contain
// the caller's key.
type Call struct {
	Request RequestID
	Attempt int
	Method  string
	Path    string // With the query, if any.
	Header  http.Header
	Body    []byte
	// ID is the request id that is sent to the server. If it is empty, the
	// router builds one from Request and Attempt.
	ID string
	// Host is the host that the caller named; empty means the server's
	// address.
	Host string
	// DedicatedConn requests a connection that is used for this call only.
	DedicatedConn bool
	// MaxIdle, if not zero, permits a call with DedicatedConn to use a kept connection that
	// has been idle for at most this time, and to leave its connection to later calls.
	MaxIdle time.Duration
	// MaySend is called when the connection is there, before any byte is written. If it
	// returns false, nothing is. Nil means that the call may always be sent.
	MaySend func() bool
	// Tier and Salt are passed to engines that support priorities and a
	// salted prefix cache.
	Tier int
	Salt string
}

// Answer is a backend server's answer whose body has not been read yet.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Length  int64  // Bytes in the body, or -1 if unknown.
	Request string // The request id that the backend server echoed, if any.
	Through NodeID // The node that connected this one to the server; empty if it did itself.
	// Unframed is set if the body ends only with its connection, so that it may
	// be truncated.
	Unframed bool
	// RepeatsRefusal records that the answer refuses the request with an id, and reports
	// whether such a refusal came on the connection before: a server that writes one once
	// more may be running the request. It is nil if the backend does not support this.
	RepeatsRefusal func(id string) bool
	// Drop closes the connection when the answer belongs to another request.
	// It is nil if the backend does not support this.
	Drop func()
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send runs one attempt. The error is a *BackendError whose Ran field
	// says whether the request may have reached the server.
	Send(ctx context.Context, s Server, c Call) (*Answer, error)
}
