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
	// heldBytes is how much of a plain answer is held back until it is known
	// to be whole.
	heldBytes = 256 << 10
	// copyBytes is the buffer that longer answers pass through.
	copyBytes = 16 << 10
)

// BrokenError is an answer that is not whole.
type BrokenError struct {
	End End
	Err error
}

func (e *BrokenError) Error() string { return fmt.Sprintf("the answer is not whole: %v", e.Err) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Whole is a plain answer that is whole, or the beginning of one that is too
// large to be held.
type Whole struct {
	Status  int
	Header  http.Header // To be passed on.
	Usage   *Usage      // Nil when the answer tells none.
	Omitted bool        // The answer is too large to be held.
	Body    []byte      // What is held.

	digest hash.Hash
	length int64
	rest   io.Reader // What is still to come, or nil.
	live   bool      // The parts go on as they come.
}

var (
	errLength = errors.New("the length is not the one announced")
	errJSON   = errors.New("the JSON is not complete")
)

// Read reads a plain answer and checks it. The error is a *BrokenError, and
// then the caller has got nothing.
func Read(a *tarragondeal.Answer) (*Whole, error) {
	media, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type"))
	o := &Whole{Status: a.Status, Header: PassedOn(a.Header), digest: sha256.New(), length: a.Length}
	if media == "text/event-stream" {
		o.live, o.Omitted, o.rest = true, true, a.Body
		return o, nil
	}
	held, err := readHeld(a)
	if err != nil {
		return nil, &BrokenError{End: EndBroken, Err: err}
	}
	o.Body = held
	_, _ = o.digest.Write(held)
	if len(held) > heldBytes {
		o.Omitted, o.rest = true, a.Body
		return o, nil
	}
	if a.Length >= 0 && a.Length != int64(len(held)) {
		return nil, &BrokenError{End: EndShort, Err: errLength}
	}
	o.length = int64(len(held))
	if media != "application/json" || len(held) == 0 || a.Header.Get("Content-Encoding") != "" {
		return o, nil
	}
	if !json.Valid(held) {
		return nil, &BrokenError{End: EndShort, Err: errJSON}
	}
	o.Usage = usage(held)
	return o, nil
}

// readHeld reads one byte more than is held, to tell whether there is more.
func readHeld(a *tarragondeal.Answer) ([]byte, error) {
	var buf bytes.Buffer
	if a.Length > 0 {
		buf.Grow(int(min(a.Length, heldBytes)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(io.LimitReader(a.Body, heldBytes+1))
	return buf.Bytes(), err
}

// Digest returns the SHA-256 of what has been read.
func (o *Whole) Digest() []byte { return o.digest.Sum(nil) }

// Deliver writes the answer to the caller. After an error the connection
// must be cut, since the caller has got a part. The error is a *BrokenError.
func (o *Whole) Deliver(w http.ResponseWriter, write time.Duration) error {
	h := w.Header()
	for name, values := range o.Header {
		h[name] = values
	}
	if o.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(o.length, 10))
	}
	rc := http.NewResponseController(w)
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	extend(rc, write)
	w.WriteHeader(o.Status)
	n, err := w.Write(o.Body)
	if err == nil && o.rest != nil {
		return o.deliverRest(w, rc, write, int64(n))
	}
	if err == nil {
		err = rc.Flush()
	}
	if err != nil {
		return &BrokenError{End: EndCaller, Err: err}
	}
	return nil
}

func extend(rc *http.ResponseController, write time.Duration) {
	if write > 0 {
		_ = rc.SetWriteDeadline(time.Now().Add(write))
	}
}

func (o *Whole) deliverRest(w http.ResponseWriter, rc *http.ResponseController, write time.Duration, done int64) error {
	buf := make([]byte, copyBytes)
	for {
		n, rerr := o.rest.Read(buf)
		extend(rc, write)
		if _, err := w.Write(buf[:n]); err != nil {
			return &BrokenError{End: EndCaller, Err: err}
		}
		_, _ = o.digest.Write(buf[:n])
		done += int64(n)
		if o.live {
			_ = rc.Flush()
		}
		switch {
		case errors.Is(rerr, io.EOF) && o.length >= 0 && done != o.length:
			return &BrokenError{End: EndShort, Err: errLength}
		case errors.Is(rerr, io.EOF):
			return nil
		case rerr != nil:
			return &BrokenError{End: EndBroken, Err: rerr}
		}
	}
}

// Drain reads what the caller did not take, so that the digest is whole.
func (o *Whole) Drain() error {
	if o.rest == nil {
		return nil
	}
	_, err := io.Copy(o.digest, o.rest)
	return err
}

// passedOn are the headers of a backend server's answer that callers get.
var passedOn = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Cache-Control",
	"Etag", "Last-Modified", "Retry-After",
}

// PassedOn returns the headers of an answer that callers get.
func PassedOn(h http.Header) http.Header {
	out := make(http.Header, len(passedOn))
	for _, name := range passedOn {
		if v, ok := h[name]; ok {
			out[name] = v
		}
	}
	return out
}
