package tdbackend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/platform/tdbackend"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Backend")
}

// serve starts a listener and calls handle for each connection.
func serve(handle func(net.Conn)) (tarragondeal.Server, func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	s := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	return s, func() { _ = ln.Close() }
}

// answering reads one request from a connection, writes text and closes the
// connection. It sends the request's method to seen.
func answering(text string, seen chan<- string) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		seen <- req.Method
		_, _ = io.WriteString(c, text)
	}
}

var _ = Describe("Send", func() {
	for _, c := range []struct {
		name, method, answer string
		body                 []byte
		crashed              bool
	}{
		{"reports unknown when the connection breaks after the request", http.MethodPost, "", []byte("x"), true},
		{"does not retry a request without a body", http.MethodGet, "", nil, true},
		// Callers got the response, though they had not asked for another protocol.
		{"reports unknown when the server switches protocols", http.MethodPost, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", []byte("x"), false},
		{"reports unknown when the response header is truncated", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Le", []byte("x"), true},
	} {
		It(c.name, func() {
			seen := make(chan string, 9)
			s, stop := serve(answering(c.answer, seen))
			defer stop()
			_, err := tdbackend.New().Send(context.Background(), s, tarragondeal.Call{Request: "q", Attempt: 1, Method: c.method, Path: "/", Body: c.body})
			var b *tarragondeal.BackendError
			Expect(errors.As(err, &b)).To(BeTrue())
			Expect(b.Ran).To(Equal(tarragondeal.RanUnknown))
			Expect(b.Crashed).To(Equal(c.crashed))
			Expect(seen).To(HaveLen(1))
		})
	}

	It("reports notRun when the server can't be reached", func() {
		s, stop := serve(func(net.Conn) {})
		stop()
		_, err := tdbackend.New().Send(context.Background(), s, tarragondeal.Call{Method: http.MethodPost, Path: "/"})
		var b *tarragondeal.BackendError
		Expect(errors.As(err, &b)).To(BeTrue())
		Expect(b.Ran).To(Equal(tarragondeal.RanNot))
	})

	It("reports unknown and no crash when the context is cancelled", func() {
		arrived := make(chan struct{})
		s, stop := serve(func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			close(arrived)
		})
		defer stop()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-arrived; cancel() }()
		_, err := tdbackend.New().Send(ctx, s, tarragondeal.Call{Method: http.MethodPost, Path: "/"})
		var b *tarragondeal.BackendError
		Expect(errors.As(err, &b)).To(BeTrue())
		Expect(b.Ran).To(Equal(tarragondeal.RanUnknown))
		Expect(b.Crashed).To(BeFalse())
	})

	for _, c := range []struct {
		name, response string
		complete       bool
	}{
		{"accepts an event stream that ends with the connection after an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nok\n\n", true},
		{"accepts one with other line breaks", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nok\r\n\r\n", true},
		{"accepts one without events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", true},
		{"rejects one that ends inside an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nok\n\nok\n", false},
		{"accepts a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"rejects a body that ends only with the connection", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nok", false},
		{"rejects a body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"does not follow a redirect", "HTTP/1.1 307 Go\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 2\r\n\r\nok", true},
	} {
		It(c.name, func() {
			s, stop := serve(answering(c.response, make(chan string, 9)))
			defer stop()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			answer, err := tdbackend.New().Send(ctx, s, tarragondeal.Call{Method: http.MethodPost, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = answer.Body.Close() }()
			text, err := io.ReadAll(answer.Body)
			_, sent, _ := strings.Cut(c.response, "\r\n\r\n")
			Expect(string(text)).To(Equal(sent))
			Expect(err == nil).To(Equal(c.complete))
		})
	}
})
