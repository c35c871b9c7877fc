package tdbackend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
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

// serve hands each connection of a fresh listener to serve.
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

// answering reads requests and writes the text after each.
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

var _ = Describe("sending", func() {
	for _, c := range []struct {
		name, method, answer string
		body                 []byte
		crashed              bool
	}{
		{"says unknown when the connection broke after the request", http.MethodPost, "", []byte("x"), true},
		{"never repeats a request without a body", http.MethodGet, "", nil, true},
		{"says unknown when the answer's head is cut", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Le", []byte("x"), true},
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

	It("says notRun when the server can't be reached", func() {
		s, stop := serve(func(net.Conn) {})
		stop()
		_, err := tdbackend.New().Send(context.Background(), s, tarragondeal.Call{Method: http.MethodPost, Path: "/"})
		var b *tarragondeal.BackendError
		Expect(errors.As(err, &b)).To(BeTrue())
		Expect(b.Ran).To(Equal(tarragondeal.RanNot))
	})

	It("says unknown, and no crash, when the time is up", func() {
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
		name, head string
		whole      bool
	}{
		{"takes a length for an end", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"takes no broken connection for an end", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nok", false},
		{"takes no short body for a whole one", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"follows no redirect", "HTTP/1.1 307 Go\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 2\r\n\r\nok", true},
	} {
		It(c.name, func() {
			s, stop := serve(answering(c.head, make(chan string, 9)))
			defer stop()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			answer, err := tdbackend.New().Send(ctx, s, tarragondeal.Call{Method: http.MethodPost, Path: "/"})
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = answer.Body.Close() }()
			text, err := io.ReadAll(answer.Body)
			Expect(string(text)).To(Equal("ok"))
			Expect(err == nil).To(Equal(c.whole))
		})
	}
})
