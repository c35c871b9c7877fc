package tdrelay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 256 << 10
	// readBytes is the buffer that one open stream reads into.
	readBytes = 2 << 10
)

// errPartial is a stream that ended inside an event.
var errPartial = errors.New("the stream ended inside an event")

// EventSizeError is a server-sent event above the limit.
type EventSizeError struct{ Limit int }

func (e *EventSizeError) Error() string {
	return fmt.Sprintf("a server-sent event is larger than %d bytes", e.Limit)
}

// Event is one server-sent event, or a comment. It is valid until the next
// one is read.
type Event struct {
	Raw  []byte // As it came, with the empty line that ends it.
	Name []byte
	ID   []byte
	Data []byte // Nil when the event carries none.
}

// Events reads server-sent events one by one.
type Events struct {
	r    *bufio.Reader
	raw  []byte
	data []byte
}

// NewEvents returns a reader of the events in r.
func NewEvents(r io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(r, readBytes)}
}

// Next returns the next event. The error is io.EOF at a clean end.
func (e *Events) Next() (Event, error) {
	e.raw = e.raw[:0]
	for {
		start := len(e.raw)
		if err := e.line(); err != nil {
			return Event{}, err
		}
		line := trimLine(e.raw[start:])
		if len(line) > 0 {
			continue
		}
		if start == 0 {
			e.raw = e.raw[:0] // An empty line between events.
			continue
		}
		return e.parse(), nil
	}
}

// line appends one line with its end to raw.
func (e *Events) line() error {
	for {
		part, err := e.r.ReadSlice('\n')
		if len(e.raw)+len(part) > maxEventBytes {
			return &EventSizeError{Limit: maxEventBytes}
		}
		e.raw = append(e.raw, part...)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return errPartial
		default:
			return err
		}
	}
}

func trimLine(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

func (e *Events) parse() Event {
	out := Event{Raw: e.raw}
	lines := 0
	for rest := e.raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		name, value, _ := bytes.Cut(trimLine(line), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			out.Name = value
		case "id":
			out.ID = value
		case "data":
			out.Data = e.join(out.Data, value, lines)
			lines++
		}
	}
	return out
}

// join adds one data line to those before it.
func (e *Events) join(before, value []byte, lines int) []byte {
	switch lines {
	case 0:
		return value
	case 1:
		e.data = append(e.data[:0], before...)
	}
	e.data = append(append(e.data, '\n'), value...)
	return e.data
}

// More reports whether another whole event has been read already.
func (e *Events) More() bool {
	waiting, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\r\n\r\n"))
}
