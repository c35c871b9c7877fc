package tdbackend

import (
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the writes that were begun on a connection.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countedConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// sendTrace follows the connections that one request was given.
type sendTrace struct {
	mu   sync.Mutex
	used []usedConn
}

type usedConn struct {
	conn   *countedConn
	before int64 // Writes before the request got it.
}

func (t *sendTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*countedConn)
		t.mu.Lock()
		defer t.mu.Unlock()
		if !ok {
			c = &countedConn{}
			c.writes.Store(1) // Not one of ours: it may have written.
		}
		before := int64(0)
		if ok {
			before = c.writes.Load()
		}
		t.used = append(t.used, usedConn{conn: c, before: before})
	}}
}

// drop closes the connections, so that what still comes on them is read by
// nobody.
func (t *sendTrace) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.used {
		if u.conn.Conn != nil {
			_ = u.conn.Close()
		}
	}
}

// wrote reports whether a byte of the request may have been sent.
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

// errUnframed is an answer whose end can't be told from a broken connection.
var errUnframed = errors.New("the answer has neither a length nor an end of its own")

// framed returns the body of an answer. The end of one that only ends with
// its connection is no proof that it is whole, unless its format has an end
// of its own.
func framed(res *http.Response) io.ReadCloser {
	chunked := len(res.TransferEncoding) > 0
	if res.ContentLength >= 0 || chunked || res.ProtoMajor > 1 {
		return res.Body
	}
	media, _, _ := mime.ParseMediaType(res.Header.Get("Content-Type"))
	if media == "text/event-stream" || media == "application/json" {
		return res.Body
	}
	return unframed{res.Body}
}

type unframed struct{ io.ReadCloser }

func (b unframed) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = errUnframed
	}
	return n, err
}
