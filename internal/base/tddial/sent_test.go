package tddial

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestAcknowledgedBytes guards against bytes that are taken for received while they are held in
// the send buffer of a connection whose peer doesn't read.
func TestAcknowledgedBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	if !IsAcknowledged(c, time.Now()) {
		t.Error("a connection without data holds some")
	}
	_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	n, _ := c.Write(make([]byte, 64<<20)) // Fills the buffers.
	if IsAcknowledged(c, time.Now().Add(20*time.Millisecond)) {
		t.Errorf("%d bytes are received by a peer that doesn't read", n)
	}
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	if !IsAcknowledged(c, time.Now().Add(10*time.Second)) {
		t.Error("bytes that the peer reads are not acknowledged")
	}
	pipe, other := net.Pipe()
	defer func() { _, _ = pipe.Close(), other.Close() }()
	if !IsAcknowledged(pipe, time.Now()) {
		t.Error("a pipe tells of data")
	}
}
