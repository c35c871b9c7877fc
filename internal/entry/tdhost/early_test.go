package tdhost

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// earlyUpload is the size of an upload in bytes. It exceeds what a server receives that
	// doesn't read it, and may fit into the send buffer of the connection to the server.
	earlyUpload = 3 << 20
	// earlyHold is how long a server that has ended its side of a connection keeps it, longer
	// than a node waits for the rest of the upload to be written.
	earlyHold = 400 * time.Millisecond
)

// earlyServer answers the first request on a connection in full if kept is set. It answers the
// next one before it has read its body, without a length, and ends the connection.
type earlyServer struct {
	answer string // The header fields and the body of that answer.
	kept   bool
	reset  bool
	conns  atomic.Int64
}

func (s *earlyServer) serve(c net.Conn) {
	s.conns.Add(1)
	tcp := c.(*net.TCPConn)
	_ = tcp.SetReadBuffer(connBuffer)
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if s.kept {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, cutHead+fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(events(1, 5)), events(1, 5)))
	}
	if _, err := http.ReadRequest(in); err != nil {
		return
	}
	_, _ = io.WriteString(c, cutHead+s.answer)
	if s.reset {
		time.Sleep(2 * time.Millisecond)
		_ = tcp.SetLinger(0)
		return
	}
	_ = tcp.CloseWrite()
	time.Sleep(earlyHold)
}

// sendEarly sends a request on a connection of its own, and returns the answer as an HTTP client
// reads it.
func (e *entry) sendEarly(t *testing.T, proto, path string, size int, chunked bool) answered {
	t.Helper()
	c, err := net.Dial("tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	framing, body := fmt.Sprintf("Content-Length: %d", size), strings.Repeat("u", size)
	if chunked {
		const piece = 1 << 10
		framing, body = "Transfer-Encoding: chunked", strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("u", piece)), size/piece)+"0\r\n\r\n"
	}
	go func() {
		_, _ = fmt.Fprintf(c, "POST %s %s\r\nHost: x.example\r\nX-Request-Id: q1\r\n%s\r\n\r\n%s", path, proto, framing, body)
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answered{err: err}
	}
	text, err := io.ReadAll(res.Body)
	return answered{status: res.StatusCode, body: string(text), header: res.Header, err: err}
}

// TestEarlyAnswer guards against a part of an answer that looks complete to a caller: its
// server answers without a length before it has read the upload, and ends the connection.
func TestEarlyAnswer(t *testing.T) {
	for _, caller := range []struct {
		name, proto string
		chunked     bool
	}{{"with a length", "HTTP/1.1", false}, {"in chunks", "HTTP/1.1", true}, {"HTTP/1.0", "HTTP/1.0", false}} {
		t.Run(caller.name, func(t *testing.T) {
			t.Parallel()
			for _, answer := range []struct{ name, text string }{
				{"text", "Content-Type: text/plain\r\n\r\npart"},
				{"long text", "Content-Type: text/plain\r\n\r\n" + strings.Repeat("part", 64<<10)},
				{"events", "Content-Type: text/event-stream\r\n\r\n" + events(1, 3)},
				{"JSON", "Content-Type: application/json\r\n\r\n{\"a\": 1}"},
			} {
				for n, path := range []string{"/plain/1", "/stream/1", "/resume/1", "/once/1", "/plain/1", "/stream/1", "/resume/1", "/once/1"} {
					for _, reset := range []bool{false, true} {
						s := &earlyServer{answer: answer.text, kept: n >= 4, reset: reset}
						got := s.answerEarly(t, path, func(e *entry, size int) answered {
							return e.sendEarly(t, caller.proto, path, size, caller.chunked)
						})
						what := fmt.Sprintf("%s, %s, kept connection %t, reset %t", path, answer.name, s.kept, reset)
						if got.err == nil && got.status < http.StatusMultipleChoices {
							t.Errorf("%s: status %d and %d bytes look complete", what, got.status, len(got.body))
						}
						if got.err == nil && got.status == http.StatusServiceUnavailable {
							t.Errorf("%s: reported as not run", what)
						}
						if n := s.conns.Load(); n != 1 {
							t.Errorf("%s: %d connections", what, n)
						}
					}
				}
			}
		})
	}
}

// answerEarly sends a request that s answers early, if s.kept is set on the connection of
// another one.
func (s *earlyServer) answerEarly(t *testing.T, path string, upload func(e *entry, size int) answered) answered {
	t.Helper()
	addr := acceptEach(t, s.serve)
	e := newEntry(t)
	e.maxIdle = time.Minute // Longer than any stall of the machine.
	if s.kept {
		e.reset([]netip.AddrPort{addr})
		if got := upload(e, 2<<10); got.err != nil || got.body != events(1, 5) {
			t.Errorf("%s: the first answer on the connection: %+v", path, got)
		}
		for range 1000 { // The connection becomes idle while the caller reads the answer.
			if _, ok := e.backend.IdleConn(addr); ok {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	e.reset([]netip.AddrPort{addr})
	return upload(e, earlyUpload)
}
