package tdbackend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/platform/tdbackend"
)

// TestResetIsNoEnd guards against a response without a length that is taken for
// complete although its connection was reset.
func TestResetIsNoEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
	for _, c := range []struct {
		name string
		size int // Of the request body, which the server doesn't read.
	}{{"short request", 0}, {"request not read", 3 << 20}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
				_, _ = io.WriteString(conn, head)
				time.Sleep(2 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}()
		s := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(ln.Addr().String())}
		b := tdbackend.NewWith(tdbackend.Options{Verbatim: true})
		complete, begun := 0, 0
		for range 500 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			answer, err := b.Send(ctx, s, tarragondeal.Call{Method: http.MethodPost, Path: "/", Host: "x", Body: make([]byte, c.size)})
			if err == nil {
				begun++
				if _, err := io.ReadAll(answer.Body); err == nil {
					complete++
				}
				_ = answer.Body.Close()
			}
			cancel()
		}
		if complete > 0 || begun == 0 {
			t.Errorf("%s: %d of %d were complete", c.name, complete, begun)
		}
	}
}
