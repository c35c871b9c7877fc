package tdhost

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"tarragondeal"
)

const (
	// bodyShare is the share of the VM's memory that the bodies of all requests may take.
	bodyShare = 0.25
	// defaultMemoryBytes is assumed if the size of the VM's memory isn't known.
	defaultMemoryBytes = 512 << 20
	// firstBodyBytes is the first size of the buffer for a body of unknown length.
	firstBodyBytes = 4 << 10
)

// bodyRoom returns the room for the bodies of all requests. Each workspace may take half of
// it, which must hold the largest body while that is copied to a larger buffer.
func (h *Host) bodyRoom(maxBody int64) int64 {
	memory := h.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	return max(int64(bodyShare*float64(memory)), 4*maxBody)
}

// upload is the body of one request. Its memory is taken from the room of its workspace.
type upload struct {
	h         *Host
	workspace string
	taken     int64
}

// errNoBodyRoom reports that the bodies of other requests take the room.
var errNoBodyRoom = notRunError(tarragondeal.ReasonOverload, "the node has no room for the body")

// resize takes n bytes in place of those taken before. While a body is copied to a larger
// buffer, both are taken.
func (u *upload) resize(n int64, fill func()) error {
	if !u.h.bodies.Take(u.workspace, n) {
		u.h.Scope.Counter("bodiesWithoutRoom").Inc(1)
		return errNoBodyRoom
	}
	fill()
	u.h.bodies.Free(u.workspace, u.taken)
	u.taken = n
	return nil
}

// discardTime bounds the time for which the rest of a refused body is read.
const discardTime = time.Second

// refuseUnread refuses a request whose body has not been read, and then reads the body
// without keeping it: a caller that still writes when its connection is closed may get a
// reset in place of the refusal.
func (h *Host) refuseUnread(w http.ResponseWriter, r *http.Request, refuse func()) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex() // Otherwise the server reads a part of the body before it replies.
	refuse()
	_ = rc.Flush()
	_ = rc.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, r.Body)
}

// end returns the memory. The body must not be used after it.
func (u *upload) end() {
	u.h.bodies.Free(u.workspace, u.taken)
	u.taken = 0
}

// read reads a body of at most limit bytes.
func (u *upload) read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, notRunError(tarragondeal.ReasonTooLarge, "the body is too large")
	}
	buf, err := u.readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, notRunError(tarragondeal.ReasonTooLarge, "the body is too large")
	case errors.Is(err, errNoBodyRoom):
		w.Header().Set("Connection", "close")
		return nil, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return nil, notRunError(tarragondeal.ReasonSlow, "the body was not received before the deadline")
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, notRunError(tarragondeal.ReasonBadRequest, "the body can't be read")
	}
	return buf, nil
}

// readAll reads a body of the given length, or of an unknown one if that is negative.
func (u *upload) readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	var buf []byte
	if length > 0 {
		if err := u.resize(length, func() { buf = make([]byte, length) }); err != nil {
			return nil, err
		}
		_, err := io.ReadFull(body, buf)
		return buf, err
	}
	for {
		if len(buf) == cap(buf) && int64(len(buf)) < limit {
			size := min(max(firstBodyBytes, 2*int64(cap(buf))), limit)
			if err := u.resize(size, func() { buf = append(make([]byte, 0, size), buf...) }); err != nil {
				return nil, err
			}
		}
		into := buf[len(buf):cap(buf)]
		if len(into) == 0 {
			into = make([]byte, 1) // Shows whether the body ends here or is too large.
		}
		n, err := body.Read(into)
		buf = buf[:min(len(buf)+n, cap(buf))]
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}
