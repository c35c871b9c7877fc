package tdrelay

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/platform/tdbackend"
)

// TestAnswerThatEndsWithItsConnection guards against a JSON answer that is taken for
// complete although its server's connection ended in the middle of it.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	long := `["a]}\"",` + strings.Repeat(`{"b":[1]},`, maxBufferedBytes/8)
	text := strings.Repeat("x", 2*maxBufferedBytes)
	const encoded = "Content-Encoding: gzip\r\n"
	for _, c := range []struct {
		name, header, body string
		complete           bool
	}{
		{"short", "", `{"a":1}`, true},
		{"short, cut", "", `{"a":`, false},
		{"empty", "", "", false},
		{"encoded", encoded, "\x1f\x8b", false},
		{"long", "", long + "2]\n", true},
		{"long, cut", "", long, false},
		{"long, cut in a string", "", long + `"]`, false},
		{"long, cut after an escape", "", long + `"\"]`, false},
		{"long, more after its end", "", long + "2]]", false},
		{"long string", "", `"` + text + `"`, true},
		{"long string, cut", "", `"` + text, false},
		{"long, encoded", encoded, long + "2]", false},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+c.header+"\r\n"+c.body)
		}()
		s := tarragondeal.Server{ID: "s", Addr: netip.MustParseAddrPort(ln.Addr().String())}
		answer, err := tdbackend.New().Send(context.Background(), s, tarragondeal.Call{Method: http.MethodPost, Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		plain, err := ReadPlain(answer)
		if err == nil {
			err = plain.Deliver(w, time.Minute)
		}
		if (err == nil) != c.complete || c.complete && w.Body.String() != c.body {
			t.Errorf("%s: %d of %d bytes, error %v", c.name, w.Body.Len(), len(c.body), err)
		}
		if plain != nil && (plain.Drain() == nil) != c.complete {
			t.Errorf("%s: the rest counts as complete: %t", c.name, !c.complete)
		}
		_ = answer.Body.Close()
		_ = ln.Close()
		<-done
	}
}

// goneWriter fails each write of the rest of an answer.
type goneWriter struct {
	http.ResponseWriter
	writes int
}

func (w *goneWriter) Write(b []byte) (int, error) {
	if w.writes++; w.writes > 1 {
		return 0, net.ErrClosed
	}
	return len(b), nil
}

// TestDigestAfterTheCallerHasGone guards against a recorded digest that isn't that of
// the complete answer: the part whose write failed was missing.
func TestDigestAfterTheCallerHasGone(t *testing.T) {
	body := strings.Repeat("0123456789", maxBufferedBytes/5)
	plain, err := ReadPlain(&tarragondeal.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Length: int64(len(body))})
	if err != nil {
		t.Fatal(err)
	}
	if err := plain.Deliver(&goneWriter{ResponseWriter: httptest.NewRecorder()}, 0); err == nil {
		t.Error("no error for a caller that has gone")
	}
	want := sha256.Sum256([]byte(body))
	if err := plain.Drain(); err != nil || !bytes.Equal(plain.Digest(), want[:]) {
		t.Errorf("digest %x of the answer with %x, error %v", plain.Digest(), want, err)
	}
}
