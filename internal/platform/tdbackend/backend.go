// Package tdbackend sends requests to backend servers over HTTP, both to model
// engines and to plain services.
//
// # Usage
//
//	b := tdbackend.New()
//	answer, err := b.Send(ctx, server, call)
//	if err == nil {
//		defer answer.Body.Close()
//	}
//
// A failed attempt is reported as not run only if no byte of it was written to a
// connection; the package counts the writes on its connections to know that.
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
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/platform/tdwire"
)

const (
	// dialTimeout is the limit for connecting to a backend server. It allows for
	// a server in another data centre.
	dialTimeout = time.Second
	// maxIdleConnsPerServer is how many idle connections are kept to one server.
	maxIdleConnsPerServer = 64
	// maxKeptTries bounds the kept connections that a request closes since they were idle for
	// longer than it permits, before it gets a connection of its own.
	maxKeptTries = 4
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of a response's header.
	maxHeaderBytes = 64 << 10
	// bufferBytes is the size of a connection's read and write buffers. Every
	// open stream holds both; larger bodies bypass them.
	bufferBytes = 2 << 10
)

// Backend is an HTTP client of the backend servers.
type Backend struct {
	client    *http.Client
	dedicated *http.Client // Opens a connection for each request.
	kept      *keptConns   // Of client.
	opt       Options
}

// Options configure a Backend.
type Options struct {
	// Dial connects to a server. Nil means a dialer with the default timeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Idle time.Duration // How long an idle connection is kept; zero means the default.
	// Clock measures how long connections are idle; nil means the clock of the system. It
	// must count the time for which the system is suspended.
	Clock tarragondeal.Clock
	// Verbatim sends the caller's path unchanged and adds no headers of the router.
	// It accepts the end of the connection as the end of a response without a
	// length.
	Verbatim bool
}

// New returns a backend with its own connection pool and default options. It
// follows no redirects, since a redirect could lead to a data centre where
// the request is not permitted.
func New() *Backend { return NewWith(Options{}) }

// NewWith returns a backend with the given options.
func NewWith(o Options) *Backend {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if o.Idle == 0 {
		o.Idle = idleTimeout
	}
	if o.Clock == nil {
		o.Clock = tdclock.New()
	}
	dedicated := newTransport(o, nil)
	dedicated.DisableKeepAlives = true
	kept := newKeptConns(o.Clock)
	return &Backend{client: newClient(newTransport(o, kept)), dedicated: newClient(dedicated), kept: kept, opt: o}
}

// CloseIdle closes the idle connections.
func (b *Backend) CloseIdle() { b.client.CloseIdleConnections() }

func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newTransport(o Options, kept *keptConns) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := o.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			conn := &countedConn{Conn: c, kept: kept, addr: addr}
			if kept != nil {
				// The request that opens it may get another one that becomes idle first; the
				// transport then keeps this one without calling PutIdleConn.
				kept.add(conn, nil)
			}
			return conn, nil
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        o.Idle,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		DisableCompression:     true,
	}
}

// errSwitched reports a response that changes the connection's protocol. No request
// asks for that.
var errSwitched = errors.New("server switched protocols")

// minStatus and maxStatus bound the statuses of final responses. The client of net/http
// accepts any three digits, and its server panics on those below.
const (
	minStatus = 200
	maxStatus = 599
)

// StatusError reports a response whose status is out of range.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is out of range", e.Status)
}

// Send sends one attempt and returns the response as soon as its header is read.
// The error is a *tarragondeal.BackendError.
func (b *Backend) Send(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*tarragondeal.Answer, error) {
	if !c.DedicatedConn {
		return b.send(ctx, b.client, s, c, newSendTrace(c.MaySend))
	}
	if c.MaxIdle > 0 {
		// The transport chooses the connection that became idle last, so that a new one is
		// opened and kept once those that are stale are closed.
		for range maxKeptTries {
			t := newSendTrace(c.MaySend)
			t.maxIdle = c.MaxIdle
			answer, err := b.send(ctx, b.client, s, c, t)
			if err == nil || !t.isStale() || ctx.Err() != nil {
				return answer, err
			}
		}
	}
	return b.send(ctx, b.dedicated, s, c, newSendTrace(c.MaySend))
}

// send sends a request with one of the clients.
func (b *Backend) send(ctx context.Context, client *http.Client, s tarragondeal.Server, c tarragondeal.Call, t *sendTrace) (*tarragondeal.Answer, error) {
	req, err := b.newRequest(httptrace.WithClientTrace(ctx, t.hooks()), s, c)
	if err != nil {
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanNot, Err: err}
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, t.sendError(ctx, s.ID, err)
	}
	if res.StatusCode == http.StatusSwitchingProtocols {
		_ = res.Body.Close()
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanUnknown, Err: errSwitched}
	}
	if res.StatusCode < minStatus || res.StatusCode > maxStatus {
		_ = res.Body.Close()
		t.closeConns()
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanUnknown, Err: &StatusError{Status: res.StatusCode}}
	}
	body := res.Body
	if unframed(res) {
		body = unframedBody{ReadCloser: body, trace: t}
		if !b.opt.Verbatim {
			res.Body = body
			body = delimitedBody(res)
		}
	}
	return &tarragondeal.Answer{
		Status: res.StatusCode, Header: res.Header, Body: body, Drop: t.closeConns,
		Length: res.ContentLength, Request: res.Header.Get(tdwire.HeaderRequest), Unframed: unframed(res), Through: t.through(),
		RepeatsRefusal: t.repeatsRefusal,
	}, nil
}

// nonReplayableBody keeps the transport from retrying a request on its own when
// a connection breaks, which it does for an empty body and for a body that it
// can read again.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

func (b *Backend) newRequest(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*http.Request, error) {
	body := nonReplayableBody{bytes.NewReader(c.Body)}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+s.Addr.String()+c.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Body))
	for name, values := range c.Header {
		req.Header[name] = values
	}
	if b.opt.Verbatim {
		setVerbatim(req, c)
		return req, nil
	}
	req.Header.Set("User-Agent", "tarragondeal")
	req.Header.Set(tdwire.HeaderRequest, fmt.Sprintf("%s.%d", c.Request, c.Attempt))
	return req, nil
}

// setVerbatim makes the transport send a request as the caller wrote it: the
// path is not escaped again, and no headers are added.
func setVerbatim(req *http.Request, c tarragondeal.Call) {
	path, query, ok := strings.Cut(c.Path, "?")
	if !strings.HasPrefix(path, "//") { // It would be sent as an absolute URL with a host.
		req.URL.Opaque, req.URL.RawQuery, req.URL.ForceQuery = path, query, ok && query == ""
	}
	req.Host = c.Host
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
}

func (t *sendTrace) sendError(ctx context.Context, id tarragondeal.ServerID, err error) error {
	if !t.wrote() {
		return &tarragondeal.BackendError{Server: id, Ran: tarragondeal.RanNot, Revoked: t.isRevoked(), Err: err}
	}
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	return &tarragondeal.BackendError{
		Server: id, Ran: tarragondeal.RanUnknown, Crashed: ctx.Err() == nil && !timedOut, Err: err,
	}
}
