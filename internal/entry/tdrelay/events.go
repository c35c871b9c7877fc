package tdrelay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 256 << 10
	// readBufferBytes is the size of the read buffer of each open stream.
	readBufferBytes = 2 << 10
)

// errPartial reports that a stream ended inside an event.
var errPartial = errors.New("stream ended inside an event")

// EventSizeError reports a server-sent event that is larger than Limit, in
// bytes.
type EventSizeError struct{ Limit int }

func (e *EventSizeError) Error() string {
	return fmt.Sprintf("server-sent event is larger than %d bytes", e.Limit)
}

// Event is one server-sent event, a comment, or an empty line between events. It
// is valid until the next call to Events.Next.
type Event struct {
	Raw  []byte // The event as read, including the empty line that ends it.
	Name []byte
	ID   []byte
	Data []byte // Nil if the event has none.
	// Unknown is set if a line is neither a comment nor a field of the standard.
	Unknown bool
	// Head is set if a line begins with the status line of an HTTP response, or holds one that
	// is followed by lines as those of its header: a server that fails may write one into a
	// stream that ends with its connection.
	Head bool
}

// IsEmpty reports whether e is an empty line between events.
func (e *Event) IsEmpty() bool { return len(trimLineEnd(e.Raw)) == 0 }

// Events reads server-sent events from a stream.
type Events struct {
	r     *bufio.Reader
	raw   []byte
	data  []byte
	limit int         // Of the bytes of an event.
	step  int         // By which grow raises the limit.
	grow  func() bool // Nil if the limit is not raised.
}

// NewEvents returns an Events that reads from r.
func NewEvents(r io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(r, readBufferBytes), limit: maxEventBytes}
}

// Bound limits an event to fewer bytes than by default. For a larger one the limit is raised
// by step as often as grow returns true, up to the default. It stays for later events.
func (e *Events) Bound(limit, step int, grow func() bool) {
	e.limit, e.step, e.grow = limit, step, grow
}

// fits reports whether an event may have n bytes.
func (e *Events) fits(n int) bool {
	for n > e.limit {
		if e.grow == nil || e.limit >= maxEventBytes || !e.grow() {
			return false
		}
		e.limit = min(e.limit+e.step, maxEventBytes)
	}
	return true
}

// Next returns the next event. The error is io.EOF if the stream ended after a
// complete event.
func (e *Events) Next() (Event, error) {
	e.raw = e.raw[:0]
	for {
		start := len(e.raw)
		if err := e.readLine(); err != nil {
			return Event{}, err
		}
		line := trimLineEnd(e.raw[start:])
		if len(line) > 0 {
			continue
		}
		return e.parse(), nil
	}
}

// readLine appends one line, including its line break, to raw.
func (e *Events) readLine() error {
	for {
		part, err := e.r.ReadSlice('\n')
		if !e.fits(len(e.raw) + len(part)) {
			return &EventSizeError{Limit: e.limit}
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

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}

// statusLine matches the status line of an HTTP response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// statusLineAt returns where the status line of an HTTP response begins in a line, or -1.
func statusLineAt(line []byte) int {
	if !bytes.Contains(line, []byte("HTTP/1.")) {
		return -1
	}
	if at := statusLine.FindIndex(line); at != nil {
		return at[0]
	}
	return -1
}

func (e *Events) parse() Event {
	out := Event{Raw: e.raw}
	lines, status := 0, false
	for rest := e.raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		at := statusLineAt(line)
		name, value, _ := bytes.Cut(trimLineEnd(line), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			out.Name = value
		case "id":
			out.ID = value
		case "data":
			out.Data = e.joinData(out.Data, value, lines)
			lines++
		case "", "retry":
		default:
			out.Unknown = true
			out.Head = out.Head || status
		}
		out.Head = out.Head || at == 0
		status = status || at >= 0
	}
	return out
}

// joinData joins the data of an event from the data before and one more line.
func (e *Events) joinData(before, value []byte, lines int) []byte {
	switch lines {
	case 0:
		return value
	case 1:
		e.data = append(e.data[:0], before...)
	}
	e.data = append(append(e.data, '\n'), value...)
	return e.data
}

// More reports whether another complete event is already buffered.
func (e *Events) More() bool {
	buffered, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\r\n\r\n"))
}
