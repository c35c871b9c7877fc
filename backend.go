package tarragondeal

import (
	"context"
	"io"
	"net/http"
)

// Call is one attempt of a request at a backend server. It carries no key.
type Call struct {
	Request RequestID
	Attempt int
	Method  string
	Path    string // With the query, if any.
	Header  http.Header
	Body    []byte
	// ID is the request's id as the server is told it. Without one the router
	// makes it of Request and Attempt.
	ID string
	// Host is what the caller named; empty stands for the server's address.
	Host string
	// Apart asks for a connection that nothing else was or will be sent on.
	Apart bool
	// Tier and Salt are passed to engines that honour priorities and salt
	// their prefix cache.
	Tier int
	Salt string
}

// Answer is a backend server's answer whose body has not been read yet.
type Answer struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	Length  int64  // Bytes in the body, or -1 when not announced.
	Request string // The request id that the backend server echoed, if any.
	// Drop closes the connection, for an answer that is not this request's.
	// It is nil where the backend can't.
	Drop func()
}

// Backend reaches backend servers.
type Backend interface {
	// Send runs one attempt. The error is a *BackendError whose Ran field
	// tells whether the request can have reached the server.
	Send(ctx context.Context, s Server, c Call) (*Answer, error)
}
