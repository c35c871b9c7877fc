// Package tdbackend sends requests to backend servers over HTTP, model
// engines and plain services alike.
//
// # Usage
//
//	b := tdbackend.New(client)
//	answer, err := b.Send(ctx, server, call)
//	if err == nil {
//		defer answer.Body.Close()
//	}
//
// The package tells apart attempts that cannot have reached the server from
// attempts that may have.
package tdbackend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"tarragondeal"
	"tarragondeal/internal/platform/tdwire"
)

// dialTimeout bounds connecting to a backend server in another data centre.
const dialTimeout = time.Second

// idlePerServer is how many unused connections are kept to one server.
const idlePerServer = 64

// Backend reaches backend servers.
type Backend struct {
	client *http.Client
}

// New returns a backend that uses its own pool of connections. It follows
// no redirect, since a redirect could lead out of the permitted place.
func New() *Backend {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerServer,
		DisableCompression:  true,
	}
	return &Backend{client: &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send runs one attempt. A request with a body is never repeated by the
// transport, because its GetBody is cleared.
func (b *Backend) Send(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*tarragondeal.Answer, error) {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.Addr.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanNot, Err: err}
	}
	req.GetBody = nil
	for name, values := range c.Header {
		req.Header[name] = values
	}
	id := fmt.Sprintf("%s.%d", c.Request, c.Attempt)
	req.Header.Set(tdwire.HeaderRequest, id)
	res, err := b.client.Do(req) //nolint:bodyclose // The caller closes it as Answer.Body.
	if err != nil {
		return nil, failure(ctx, s.ID, wrote.Load(), err)
	}
	return &tarragondeal.Answer{
		Status: res.StatusCode, Header: res.Header, Body: res.Body,
		Length: res.ContentLength, Request: res.Header.Get(tdwire.HeaderRequest),
	}, nil
}

func failure(ctx context.Context, id tarragondeal.ServerID, wrote bool, err error) error {
	if !wrote {
		return &tarragondeal.BackendError{Server: id, Ran: tarragondeal.RanNot, Err: err}
	}
	crashed := ctx.Err() == nil && !errors.Is(err, context.DeadlineExceeded)
	return &tarragondeal.BackendError{Server: id, Ran: tarragondeal.RanUnknown, Crashed: crashed, Err: err}
}
