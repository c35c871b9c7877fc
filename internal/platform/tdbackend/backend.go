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
	"strings"
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
	apart  *http.Client // Uses each connection once.
	opt    Options
}

// Options say how backend servers are reached.
type Options struct {
	Dialer *net.Dialer   // Nil stands for one with the package's own timeout.
	Idle   time.Duration // How long an unused connection is kept.
	// Bare sends no header of the router's own, and takes the end of a
	// connection for the end of an answer that states no length.
	Bare bool
}

// New returns a backend that uses its own pool of connections. It follows
// no redirect, since a redirect could lead out of the permitted place.
func New() *Backend { return NewWith(Options{}) }

// NewWith returns a backend that reaches servers in another way.
func NewWith(o Options) *Backend {
	if o.Dialer == nil {
		o.Dialer = &net.Dialer{Timeout: dialTimeout}
	}
	if o.Idle == 0 {
		o.Idle = idleFor
	}
	once := transport(o)
	once.DisableKeepAlives = true
	return &Backend{client: clientOf(transport(o)), apart: clientOf(once), opt: o}
}

func clientOf(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func transport(o Options) *http.Transport {
	dialer := o.Dialer
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        o.Idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DisableCompression:     true,
	}
}

// Send runs one attempt.
func (b *Backend) Send(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*tarragondeal.Answer, error) {
	var t sendTrace
	req, err := b.newRequest(httptrace.WithClientTrace(ctx, t.hooks()), s, c)
	if err != nil {
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanNot, Err: err}
	}
	client := b.client
	if c.Apart {
		client = b.apart
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, failure(ctx, s.ID, t.wrote(), err)
	}
	body := res.Body
	if !b.opt.Bare {
		body = framed(res)
	}
	return &tarragondeal.Answer{
		Status: res.StatusCode, Header: res.Header, Body: body, Drop: t.drop,
		Length: res.ContentLength, Request: res.Header.Get(tdwire.HeaderRequest),
	}, nil
}

// unrepeatable is a body that the transport can't read a second time. The
// transport repeats requests with other bodies, empty ones included, on its
// own when a connection breaks.
type unrepeatable struct{ io.Reader }

func (unrepeatable) Close() error { return nil }

func (b *Backend) newRequest(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*http.Request, error) {
	body := unrepeatable{bytes.NewReader(c.Body)}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.Addr.String()+c.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	for name, values := range c.Header {
		req.Header[name] = values
	}
	if b.opt.Bare {
		bare(req, c)
		return req, nil
	}
	req.Header.Set("User-Agent", "tarragondeal")
	req.Header.Set(tdwire.HeaderRequest, fmt.Sprintf("%s.%d", c.Request, c.Attempt))
	return req, nil
}

// bare makes a request go out as the caller wrote it: its path is not escaped
// anew, and no header is added.
func bare(req *http.Request, c tarragondeal.Call) {
	path, query, ok := strings.Cut(c.Path, "?")
	if !strings.HasPrefix(path, "//") { // A host would be read out of it.
		req.URL.Opaque, req.URL.RawQuery, req.URL.ForceQuery = path, query, ok && query == ""
	}
	req.Host = c.Host
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
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
