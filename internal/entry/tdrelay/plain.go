package tdrelay

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"tarragondeal"
)

const (
	// maxBufferedBytes is the size up to which an answer that is not streamed
	// is buffered until it is known to be complete.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the buffer for copying longer answers.
	copyBufferBytes = 16 << 10
)

// BrokenError reports an answer that was not received or delivered completely.
type BrokenError struct {
	End End
	Err error
}

func (e *BrokenError) Error() string { return fmt.Sprintf("answer is not complete: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error { return e.Err }

// PlainAnswer is a complete answer that is not a model's stream, or the
// beginning of one that is too large to be buffered or has the media type
// text/event-stream.
type PlainAnswer struct {
	Status  int
	Header  http.Header // The headers to relay.
	Usage   *Usage      // Nil if the answer reports none.
	Omitted bool        // Body does not hold the complete answer.
	Body    []byte      // The buffered part.

	digest    hash.Hash
	length    int64
	rest      io.Reader // The unread part, or nil.
	flushEach bool      // Flush after each read.
	end       *jsonEnd  // Shows whether the rest is complete; nil if its framing does.
}

var (
	errLength = errors.New("length differs from Content-Length")
	errJSON   = errors.New("JSON is not complete")
	errFrame  = errors.New("answer ended only with its connection")
)

// ReadPlain reads an answer that is not a model's stream and checks that it is
// complete. It writes nothing to the caller. The error is a *BrokenError.
func ReadPlain(a *tarragondeal.Answer) (*PlainAnswer, error) {
	media, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type"))
	o := &PlainAnswer{Status: a.Status, Header: ForwardedHeaders(a.Header), digest: sha256.New(), length: a.Length}
	if media == "text/event-stream" {
		o.flushEach, o.Omitted, o.rest = true, true, a.Body
		return o, nil
	}
	body, err := readPrefix(a)
	if err != nil {
		return nil, &BrokenError{End: EndBroken, Err: err}
	}
	encoded := a.Header.Get("Content-Encoding") != ""
	if a.Unframed && (encoded || len(body) == 0) {
		return nil, &BrokenError{End: EndBroken, Err: errFrame}
	}
	o.Body = body
	_, _ = o.digest.Write(body)
	if len(body) > maxBufferedBytes {
		o.Omitted, o.rest = true, a.Body
		if a.Unframed {
			o.end = &jsonEnd{}
			_, _ = o.end.Write(body)
		}
		return o, nil
	}
	if a.Length >= 0 && a.Length != int64(len(body)) {
		return nil, &BrokenError{End: EndTruncated, Err: errLength}
	}
	o.length = int64(len(body))
	if media != "application/json" || len(body) == 0 || encoded {
		return o, nil
	}
	if !json.Valid(body) {
		return nil, &BrokenError{End: EndTruncated, Err: errJSON}
	}
	o.Usage = parseUsage(body)
	return o, nil
}

// readPrefix reads up to maxBufferedBytes and one byte more, which tells
// whether the answer is larger.
func readPrefix(a *tarragondeal.Answer) ([]byte, error) {
	var buf bytes.Buffer
	if a.Length > 0 {
		buf.Grow(int(min(a.Length, maxBufferedBytes)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(io.LimitReader(a.Body, maxBufferedBytes+1))
	return buf.Bytes(), err
}

// Digest returns the SHA-256 of what has been read so far.
func (o *PlainAnswer) Digest() []byte { return o.digest.Sum(nil) }

// Deliver writes the answer to the caller; write is the timeout of each write,
// zero for none. The error is a *BrokenError. After an error the connection must
// be closed, since the caller has got only a part of the answer.
func (o *PlainAnswer) Deliver(w http.ResponseWriter, write time.Duration) error {
	h := w.Header()
	for name, values := range o.Header {
		h[name] = values
	}
	if o.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(o.length, 10))
	}
	rc := http.NewResponseController(w)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	extendDeadline(rc, write)
	w.WriteHeader(o.Status)
	n, err := w.Write(o.Body)
	if err == nil && o.rest != nil {
		return o.deliverRest(w, rc, write, int64(n))
	}
	if err == nil {
		err = rc.Flush()
	}
	if err != nil {
		return &BrokenError{End: EndCallerGone, Err: err}
	}
	return nil
}

func extendDeadline(rc *http.ResponseController, write time.Duration) {
	if write > 0 {
		_ = rc.SetWriteDeadline(time.Now().Add(write))
	}
}

func (o *PlainAnswer) deliverRest(w http.ResponseWriter, rc *http.ResponseController, write time.Duration, done int64) error {
	buf := make([]byte, copyBufferBytes)
	for {
		n, rerr := o.rest.Read(buf)
		_, _ = o.digest.Write(buf[:n])
		if o.end != nil {
			_, _ = o.end.Write(buf[:n])
		}
		done += int64(n)
		extendDeadline(rc, write)
		if _, err := w.Write(buf[:n]); err != nil {
			return &BrokenError{End: EndCallerGone, Err: err}
		}
		if o.flushEach {
			_ = rc.Flush()
		}
		switch {
		case errors.Is(rerr, io.EOF) && o.length >= 0 && done != o.length:
			return &BrokenError{End: EndTruncated, Err: errLength}
		case errors.Is(rerr, io.EOF) && o.end != nil && !o.end.complete():
			return &BrokenError{End: EndTruncated, Err: errJSON}
		case errors.Is(rerr, io.EOF):
			return nil
		case rerr != nil:
			return &BrokenError{End: EndBroken, Err: rerr}
		}
	}
}

// Drain reads the rest of the answer if Deliver failed, so that the digest
// covers the complete answer.
func (o *PlainAnswer) Drain() error {
	if o.rest == nil {
		return nil
	}
	to := io.Writer(o.digest)
	if o.end != nil {
		to = io.MultiWriter(o.digest, o.end)
	}
	_, err := io.Copy(to, o.rest)
	if err == nil && o.end != nil && !o.end.complete() {
		err = &BrokenError{End: EndTruncated, Err: errJSON}
	}
	return err
}

// forwardedHeaderNames are the headers of a backend server's answer that are
// relayed to callers.
var forwardedHeaderNames = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Cache-Control",
	"Etag", "Last-Modified", "Retry-After",
}

// ForwardedHeaders returns the headers of an answer that are relayed to callers.
func ForwardedHeaders(h http.Header) http.Header {
	out := make(http.Header, len(forwardedHeaderNames))
	for _, name := range forwardedHeaderNames {
		if v, ok := h[name]; ok {
			out[name] = v
		}
	}
	return out
}
