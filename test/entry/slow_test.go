package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a slow reader", func() {
	It("stalls its answer and is disconnected after the write timeout", func() {
		event := `data: {"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", 1<<16) + `"},"finish_reason":null}]}` + "\n\n"
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ln.Close() }()
		written := make(chan error, 1)
		go func() { written <- writeEvents(ln, event) }()
		handler, key := newFront(GinkgoTB(), ln.Addr().String())
		srv := httptest.NewServer(handler)
		defer srv.Close()
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		body := chatBody("narrate", 16)
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", chatPath, key, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		// The engine never ends its answer. The router closes the connection to
		// it when a write to the caller has timed out.
		Eventually(written, "30s").Should(Receive(HaveOccurred()))
	})
})

// writeEvents accepts one connection and writes the same event until an error.
func writeEvents(ln net.Listener, event string) error {
	c, err := ln.Accept()
	if err != nil {
		return nil //nolint:nilerr // Only an error of writing the answer counts.
	}
	defer func() { _ = c.Close() }()
	_, _ = c.Read(make([]byte, 4<<10))
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"); err != nil {
		return err
	}
	for {
		if _, err := io.WriteString(c, event); err != nil {
			return err
		}
	}
}
