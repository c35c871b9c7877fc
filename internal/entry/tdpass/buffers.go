package tdpass

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"tarragondeal"
	"tarragondeal/internal/entry/tdrelay"
)

const (
	// maxBuffered is the number of bytes that the answers of one node may take while they
	// are buffered, beyond minBuffered of each.
	maxBuffered = 8 << 20
	// minBuffered is the part of an answer that is always buffered.
	minBuffered = 16 << 10
	// bufferStep is the number of bytes by which a buffer grows beyond that.
	bufferStep = 64 << 10
)

// Buffers bounds the memory that all requests of a node take for answers that are not
// complete. One workspace may take half of it, so that its slow callers leave room for the
// answers of the others. It is safe for concurrent use; the zero value is ready for use.
type Buffers struct {
	once sync.Once
	room *Room
}

func (b *Buffers) get() *Room {
	b.once.Do(func() { b.room = NewRoom(maxBuffered) })
	return b.room
}

// grow reports whether this request may buffer n more bytes. End returns them.
func (x *Exchange) grow(n int) bool {
	if !x.Buffers.get().Take(x.workspace, int64(n)) {
		return false
	}
	x.buffered += n
	return true
}

// events returns a reader of the events of an answer, whose sizes are bounded by the room
// of the node too.
func (x *Exchange) events(answer *tarragondeal.Answer) *tdrelay.Events {
	e := tdrelay.NewEvents(answer.Body)
	e.Bound(minBuffered, bufferStep, func() bool { return x.grow(bufferStep) })
	return e
}

// buffer reads an answer. Whole is set if it read all of it: the answer is not too long,
// and the node has room for it.
func (x *Exchange) buffer(answer *tarragondeal.Answer) (buffered []byte, whole bool, err error) {
	var buf bytes.Buffer
	for step := int64(minBuffered); ; step = bufferStep {
		n, err := io.CopyN(&buf, answer.Body, step)
		switch {
		case errors.Is(err, io.EOF):
			return buf.Bytes(), true, nil
		case err != nil:
			return buf.Bytes(), false, err
		case buf.Len() > maxBufferedBytes:
			return buf.Bytes(), false, nil
		}
		if n == step && !x.grow(bufferStep) {
			x.Log.Info().Str("request", x.caller.ID).Int("bytes", buf.Len()).Msg("no room to buffer the rest of an answer, relaying it as it arrives")
			return buf.Bytes(), false, nil
		}
	}
}
