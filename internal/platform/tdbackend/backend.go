// Package tdbackend sends requests to backend servers over HTTP, model
// engines and plain services alike.
//
// # Usage
//
//	b := tdbackend.New()
//	answer, err := b.Send(ctx, server, call)
//	if err == nil {
//		defer answer.Body.Close()
//	}
//
// The package tells apart attempts that cannot have reached the server from
// attempts that may have: it sees each byte that is written to a connection.
package tdbackend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"tarragondeal"
	"tarragondeal/internal/platform/tdwire"
)

const (
	// dialTimeout bounds connecting to a backend server in another data
	// centre.
	dialTimeout = time.Second
	// idlePerServer is how many unused connections are kept to one server.
	idlePerServer = 64
	// idleFor is how long an unused connection is kept.
	idleFor = 90 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// bufferBytes is the buffer of a connection in each direction. It is held
	// by every open stream; larger bodies pass it by.
	bufferBytes = 2 << 10
)

// Backend reaches backend servers.
type Backend struct {
	client *http.Client
}

// New returns a backend that uses its own pool of connections. It follows
// no redirect, since a redirect could lead out of the permitted place.
func New() *Backend {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleFor,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DisableCompression:     true,
	}
	return &Backend{client: &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send runs one attempt.
func (b *Backend) Send(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*tarragondeal.Answer, error) {
	var t sendTrace
	req, err := newRequest(httptrace.WithClientTrace(ctx, t.hooks()), s, c)
	if err != nil {
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanNot, Err: err}
	}
	res, err := b.client.Do(req)
	if err != nil {
		return nil, failure(ctx, s.ID, t.wrote(), err)
	}
	return &tarragondeal.Answer{
		Status: res.StatusCode, Header: res.Header, Body: framed(res),
		Length: res.ContentLength, Request: res.Header.Get(tdwire.HeaderRequest),
	}, nil
}

// unrepeatable is a body that the transport can't read a second time. The
// transport repeats requests with other bodies, empty ones included, on its
// own when a connection breaks.
type unrepeatable struct{ io.Reader }

func (unrepeatable) Close() error { return nil }

func newRequest(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*http.Request, error) {
	body := unrepeatable{bytes.NewReader(c.Body)}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.Addr.String()+c.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	for name, values := range c.Header {
		req.Header[name] = values
	}
	req.Header.Set("User-Agent", "tarragondeal")
	req.Header.Set(tdwire.HeaderRequest, fmt.Sprintf("%s.%d", c.Request, c.Attempt))
	return req, nil
}

func failure(ctx context.Context, id tarragondeal.ServerID, wrote bool, err error) error {
	if !wrote {
		return &tarragondeal.BackendError{Server: id, Ran: tarragondeal.RanNot, Err: err}
	}
	var timeout net.Error
	late := errors.As(err, &timeout) && timeout.Timeout()
	return &tarragondeal.BackendError{
		Server: id, Ran: tarragondeal.RanUnknown, Crashed: ctx.Err() == nil && !late, Err: err,
	}
}
