package tddial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestClosedConnectionIsReset guards against a request that was given up while its bytes
// were held up, and that reaches its server seconds later.
func TestClosedConnectionIsReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := NewResetting()(context.Background(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	_ = server.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the server reads %v", err)
	}
}
