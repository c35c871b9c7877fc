package tdhost

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "tarragondeal/internal/test/tdtestseed"
)

// faultyServer is how a server answers one attempt of a stream.
type faultyServer struct {
	kind    string // What it answers.
	framing string // "chunked", "length" or "close".
	cut     int    // Bytes of the body after which the connection breaks, or -1.
	reset   bool   // It breaks by a reset.
	piece   int    // Bytes of each write.
	pause   bool   // It pauses between writes.
}

var faultKinds = []string{"rest", "rest", "rest", "rest", "start", "gap", "failure", "notFound", "rejection", "plain", "empty", "unsigned", "other"}

func drawServer(t *rapid.T, bytes int) faultyServer {
	s := faultyServer{
		kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"), framing: rapid.SampledFrom([]string{"chunked", "length", "close"}).Draw(t, "framing"),
		cut: rapid.IntRange(-1, bytes).Draw(t, "cut"), reset: rapid.Bool().Draw(t, "reset"),
		piece: rapid.SampledFrom([]int{1 << 20, 500, 40}).Draw(t, "piece"), pause: rapid.Bool().Draw(t, "pause"),
	}
	if s.framing == "close" {
		s.reset = s.cut >= 0 // A regular end would be that of the stream.
	}
	return s
}

// answer returns the header and body of the answer to a request for the events after
// last.
func (s *faultyServer) answer(all []string, id string, last int) (head, body string) {
	status, media, stamp := "200 OK", "text/event-stream", "X-Server-Stamp: s\r\n"
	body = strings.Join(all[min(last, len(all)):], "")
	switch s.kind {
	case "start":
		body = strings.Join(all, "")
	case "gap": // One that leaves out the first or the last event can't be known.
		if last > 0 && last+1 < len(all) {
			body = strings.Join(all[last+1:], "")
		}
	case "failure":
		status, media, body = "500 Failed", "text/plain", "failed\n\n"
	case "notFound":
		status, media, body = "404 Not Found", "text/plain", "none\n\n"
	case "rejection":
		status, media, body, stamp = "503 Full", "text/plain", "", "X-Not-Run: 1\r\n"
	case "plain":
		media, body = "text/plain", "id: "+strconv.Itoa(last+1)+"\ndata: plain\n\n"
	case "empty":
		status, body = "204 No Content", ""
	case "unsigned":
		stamp = ""
	case "other":
		id = "other"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nContent-Type: %s\r\n%s", status, id, media, stamp), body
}

func (s *faultyServer) serve(c net.Conn, all []string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	head, body := s.answer(all, r.Header.Get("X-Request-Id"), last)
	switch {
	case s.kind == "empty":
	case s.framing == "chunked":
		head += "Transfer-Encoding: chunked\r\n"
	case s.framing == "length":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, _ = io.WriteString(c, head+"\r\n")
	whole := s.cut < 0 || s.cut >= len(body)
	if !whole {
		body = body[:s.cut]
	}
	for len(body) > 0 {
		n := min(s.piece, len(body))
		part := body[:n]
		if s.framing == "chunked" {
			part = fmt.Sprintf("%x\r\n%s\r\n", n, part)
		}
		_, _ = io.WriteString(c, part)
		body = body[n:]
		if s.pause {
			time.Sleep(50 * time.Microsecond)
		}
	}
	if whole && s.framing == "chunked" && s.kind != "empty" {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	if !whole && s.reset {
		time.Sleep(time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

func (s *faultyServer) start(t *testing.T, all []string) (addr netip.AddrPort, stop func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.serve(c, all)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), func() { _ = ln.Close(); <-ended }
}

// TestStreamsOfFaultyServers guards against a stream of which an event is missing or
// comes twice, to which anything else is joined, or that ends as complete before its
// last event, whatever its servers answer.
func TestStreamsOfFaultyServers(t *testing.T) {
	e := newEntry(t)
	complete, broken, refused, continued := 0, 0, 0, 0
	check := func(rt *rapid.T) {
		all := make([]string, rapid.IntRange(1, 6).Draw(rt, "events"))
		bytes := 0
		for n := range all {
			data := strings.Repeat("x", rapid.SampledFrom([]int{0, 5, 300, 3000}).Draw(rt, "size"))
			all[n] = fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, data)
			bytes += len(all[n])
		}
		var addrs []netip.AddrPort
		for range rapid.IntRange(1, 3).Draw(rt, "servers") {
			s := drawServer(rt, bytes)
			addr, stop := s.start(t, all)
			defer stop()
			addrs = append(addrs, addr)
		}
		e.reset(addrs)
		e.logs.reset()
		path := rapid.SampledFrom([]string{"/resume3/1", "/resume/1", "/stream/1"}).Draw(rt, "path")
		got := e.send(t, path)
		want := strings.Join(all, "")
		switch {
		case got.err == nil && got.status == http.StatusOK:
			complete++
			if len(e.ended()) > 1 {
				continued++
			}
			if got.body != want && got.body != "id: 1\ndata: plain\n\n" {
				rt.Fatalf("%s: complete with %q instead of %q; logs:\n%s", path, got.body, want, e.logs)
			}
			if got.header.Get("X-Server-Stamp") == "" {
				rt.Fatalf("%s: success without a signature", path)
			}
		case got.status == http.StatusOK:
			broken++
			if !strings.HasPrefix(want, got.body) && !strings.HasPrefix("id: 1\ndata: plain\n\n", got.body) {
				rt.Fatalf("%s: broken with %q, the stream is %q; logs:\n%s", path, got.body, want, e.logs)
			}
		default:
			refused++
			if strings.Contains(got.body, "data:") {
				rt.Fatalf("%s: status %d with %q; logs:\n%s", path, got.status, got.body, e.logs)
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		for range 5 { // Most streams are simple.
			check(rt)
		}
	})
	t.Logf("%d complete, %d of them after more than one attempt, %d broken, %d not begun", complete, continued, broken, refused)
}
