package tdbackend

import (
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tddial"
)

// countedConn counts the writes started on a connection.
type countedConn struct {
	net.Conn
	writes  atomic.Int64
	writing atomic.Pointer[pendingWrite] // The latest write, or nil.
	failed  atomic.Bool                  // A write has failed.
	revoked atomic.Bool                  // The request that has the connection must not be written.
	refused refusals
	user    atomic.Pointer[sendTrace] // The request that got the connection last; &dropped if that closed it.
	kept    *keptConns                // Nil if the connection is not kept.
	addr    string
	closed  bool // Guarded by kept.mu. The transport may report a closed connection as idle.
}

// Close closes the connection.
func (c *countedConn) Close() error {
	if c.kept != nil {
		c.kept.remove(c)
	}
	return c.Conn.Close()
}

// maxRefusals is the number of refusals of a connection that are remembered.
const maxRefusals = 64

// refusals are the ids of the requests that were refused on a connection last. It is safe
// for concurrent use.
type refusals struct {
	mu  sync.Mutex
	ids []string // The oldest first.
}

// add adds an id and reports whether it was there.
func (r *refusals) add(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.ids, id) {
		return true
	}
	if len(r.ids) == maxRefusals {
		r.ids = slices.Delete(r.ids, 0, 1)
	}
	r.ids = append(r.ids, id)
	return false
}

// dropped is the user of connections that were closed by the one before.
var dropped sendTrace

// pendingWrite is closed when its write has returned.
type pendingWrite chan struct{}

// errRevoked reports a request that must not be sent any more.
var errRevoked = errors.New("request may no longer be sent to the server")

func (c *countedConn) Write(b []byte) (int, error) {
	if c.revoked.Load() {
		return 0, errRevoked
	}
	c.writes.Add(1)
	pending := make(pendingWrite)
	c.writing.Store(&pending)
	defer close(pending)
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

// errUnsentEnd reports the end of a connection to which a request was being written.
var errUnsentEnd = errors.New("connection ended while the request was being written")

// maxWriteWait is how long the end of a connection waits for a write to return, and for what
// was written to be acknowledged.
const maxWriteWait = 250 * time.Millisecond

// Read returns errUnsentEnd for the end of a connection on which a write failed or
// goes on, or whose server has not received all that was written: the send buffer may hold
// a whole upload. The system reports a reset only once: if the write gets it, the read gets
// io.EOF, as after a regular end. A write that has sent its data, or has got the
// reset, returns soon after the end is read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && !c.isSent() {
		err = errUnsentEnd
	}
	return n, err
}

// isSent waits for a short time and reports whether all writes have succeeded and their data
// has reached the server.
func (c *countedConn) isSent() bool {
	deadline := time.Now().Add(maxWriteWait)
	return c.waitWritten() && !c.failed.Load() && tddial.IsAcknowledged(c.Conn, deadline)
}

// waitWritten waits for the latest write and reports whether it has returned.
func (c *countedConn) waitWritten() bool {
	pending := c.writing.Load()
	if pending == nil {
		return true
	}
	select {
	case <-*pending:
		return true
	default:
	}
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case <-*pending:
		return true
	case <-timer.C:
		return false
	}
}

// sendTrace records the connections that the transport used for one request.
type sendTrace struct {
	maxIdle time.Duration // Of a kept connection; zero means any.
	maySend func() bool   // Nil means always.
	written chan struct{} // Closed when the request has been written to the end.
	failed  chan struct{} // Closed when writing the request has failed.
	mu      sync.Mutex
	used    []usedConn
	revoked bool // maySend returned false, or the connection had been closed.
	stale   bool // The connection was idle for longer than maxIdle, and nothing was written to it.
}

func newSendTrace(maySend func() bool) *sendTrace {
	return &sendTrace{maySend: maySend, written: make(chan struct{}), failed: make(chan struct{})}
}

type usedConn struct {
	conn   *countedConn
	before int64 // Writes before the request was given the connection.
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn, PutIdleConn: func(err error) {
		if err == nil {
			t.keepConn()
		}
	}, WroteRequest: func(i httptrace.WroteRequestInfo) {
		if i.Err != nil {
			t.closeOnce(t.failed)
			return
		}
		t.closeOnce(t.written)
	}}
}

// gotConn records the connection that the transport uses for the request, and revokes it if
// the request must not be written to it.
func (t *sendTrace) gotConn(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*countedConn)
	if !ok {
		c = &countedConn{}
		c.writes.Store(1) // Not counted, so it may have written.
		t.mu.Lock()
		defer t.mu.Unlock()
		t.used = append(t.used, usedConn{conn: c})
		return
	}
	revoked := t.maySend != nil && !t.maySend()
	if c.user.Swap(t) == &dropped {
		revoked = true
	}
	stale := false
	if c.kept != nil {
		idle := c.kept.take(c)
		stale = i.Reused && t.maxIdle > 0 && idle > t.maxIdle
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if revoked || stale {
		t.revoked, t.stale = revoked, stale && !revoked
		c.revoked.Store(true)
	}
	t.used = append(t.used, usedConn{conn: c, before: c.writes.Load()})
}

// keepConn records that the connection of the request is idle.
func (t *sendTrace) keepConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.used) == 0 {
		return
	}
	if c := t.used[len(t.used)-1].conn; c.kept != nil {
		c.kept.add(c, t)
	}
}

// closeOnce closes one of the channels of t. The transport may report the end of a write
// more than once.
func (t *sendTrace) closeOnce(c chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-c:
	default:
		close(c)
	}
}

// isWritten reports whether the request has been written to the end. It waits for a short
// time.
func (t *sendTrace) isWritten() bool {
	select {
	case <-t.written:
		return true
	default:
	}
	timer := time.NewTimer(maxWriteWait)
	defer timer.Stop()
	select {
	case <-t.written:
		return true
	case <-t.failed:
		return false
	case <-timer.C:
		return false
	}
}

// closeConns closes the connections, so that nothing that still arrives on them
// is read. Those that another request has got since stay open.
func (t *sendTrace) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.used {
		if u.conn.Conn != nil && u.conn.user.CompareAndSwap(t, &dropped) {
			_ = u.conn.Close()
		}
	}
}

// repeatsRefusal records that a request was refused on the connection, and reports whether
// it had been before.
func (t *sendTrace) repeatsRefusal(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.used) > 0 && t.used[len(t.used)-1].conn.refused.add(id)
}

// through returns the node that connected this one to the server of the answer, or an
// empty name if none did.
func (t *sendTrace) through() tarragondeal.NodeID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.used) == 0 {
		return ""
	}
	if c, ok := t.used[len(t.used)-1].conn.Conn.(interface{ Through() tarragondeal.NodeID }); ok {
		return c.Through()
	}
	return ""
}

// isRevoked reports whether the request was not permitted to be sent.
func (t *sendTrace) isRevoked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revoked
}

// isStale reports whether the request was not sent since its connection was idle for too long.
func (t *sendTrace) isStale() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stale
}

// wrote reports whether any byte of the request may have been sent.
func (t *sendTrace) wrote() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.used {
		if u.conn.writes.Load() != u.before {
			return true
		}
	}
	return false
}

// errCloseDelimited reports a response whose end can't be told from a broken
// connection.
var errCloseDelimited = errors.New("response is delimited only by the end of the connection")

// unframed reports whether the body of a response ends only with its connection.
func unframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.ProtoMajor <= 1
}

// unframedBody is a body that ends only with its connection. If the connection ends before
// the request has been written to the end, the server may have broken off.
type unframedBody struct {
	io.ReadCloser
	trace *sendTrace
}

func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.trace.isWritten() {
		err = errUnsentEnd
	}
	return n, err
}

// delimitedBody returns the body of a response that ends only with its connection. It may
// be truncated, so reading its end returns errCloseDelimited
// instead of io.EOF. JSON is excepted: its format shows where it ends; and so are
// event streams, unless they end inside an event.
func delimitedBody(res *http.Response) io.ReadCloser {
	media, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	switch media {
	case "application/json":
		return res.Body
	case "text/event-stream":
		return &closeDelimitedEvents{ReadCloser: res.Body}
	}
	return closeDelimitedBody{res.Body}
}

// closeDelimitedEvents is an event stream that ends with its connection.
type closeDelimitedEvents struct {
	io.ReadCloser
	line   bool // The current line isn't empty.
	inside bool // An event has begun and not ended.
}

func (b *closeDelimitedEvents) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	for _, c := range p[:n] {
		switch c {
		case '\r':
		case '\n':
			b.inside, b.line = b.line, false
		default:
			b.inside, b.line = true, true
		}
	}
	if b.inside && errors.Is(err, io.EOF) {
		err = errCloseDelimited
	}
	return n, err
}

type closeDelimitedBody struct{ io.ReadCloser }

func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = errCloseDelimited
	}
	return n, err
}
