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
}

// Backend reaches backend servers.
type Backend interface {
	// Send runs one attempt. The error is a *BackendError whose Ran field
	// tells whether the request can have reached the server.
	Send(ctx context.Context, s Server, c Call) (*Answer, error)
}
