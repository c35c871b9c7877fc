package tdrelay

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"net/http"
	"time"
)

// End says how a part of an answer ended.
type End int

// The ways in which a part of an answer ends.
const (
	EndWhole   End = iota
	EndBroken      // The connection to the backend server broke.
	EndShort       // The answer ended cleanly, but before its end.
	EndWrong       // What came belongs to another request, or is no answer.
	EndDiffers     // Another attempt's answer does not start like the first one.
	EndCaller      // The caller takes no more.
)

// deadlineStep is how much a write deadline may lag, which saves setting it
// for every event.
const deadlineStep = time.Second

// Options say how a stream is passed on.
type Options struct {
	// Header is called once, before the first byte.
	Header func(http.Header)
	// Progress is called after each event with the tokens delivered so far.
	Progress func(tokens int)
	// End is called before the end marker is passed on: until then the caller
	// can't take the answer for whole.
	End func()
	// Write bounds how long the caller may take to accept more.
	Write time.Duration
	// HideUsage drops the event that only tells usage.
	HideUsage bool
	// Record keeps a copy of up to so many bytes.
	Record int
}

// Stream is one caller's streamed answer over all attempts that feed it.
type Stream struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	opt Options

	started  bool
	deadline time.Time
	events   int // Taken from engines, hidden ones included.
	tokens   int
	usage    *Usage
	sum      hash.Hash // Over the content of the events taken.
	skipped  hash.Hash // Over the events of another attempt.
	scratch  []byte
	seen     uint64 // Choices that began, by index.
	finished uint64 // Choices that ended, by index.
	digest   hash.Hash
	copy     []byte
	omitted  bool
	gone     bool // The caller takes no more, and the answer is recorded.
}

// NewStream returns a stream that nothing has been delivered of.
func NewStream(w http.ResponseWriter, o Options) *Stream {
	s := &Stream{w: w, rc: http.NewResponseController(w), opt: o, sum: sha256.New()}
	if o.Record > 0 {
		s.digest = sha256.New()
	}
	return s
}

// Started reports whether the caller has got a byte.
func (s *Stream) Started() bool { return s.started }

// Events returns how many events have been taken.
func (s *Stream) Events() int { return s.events }

// Tokens returns how many tokens have been delivered, as far as the events
// tell.
func (s *Stream) Tokens() int { return s.tokens }

// Usage returns what the engine said the answer took, or nil.
func (s *Stream) Usage() *Usage { return s.usage }

// Recorded returns the copy of what was delivered, its digest, and whether
// the copy was left out.
func (s *Stream) Recorded() (body, digest []byte, omitted bool) {
	return s.copy, s.digest.Sum(nil), s.omitted
}

// Feed passes on one attempt's answer. The first skip events were delivered
// by an earlier attempt: they are compared with those and passed over.
func (s *Stream) Feed(body io.Reader, skip int) (End, error) {
	if skip > 0 {
		s.skipped = sha256.New()
	}
	f := feed{s: s, events: NewEvents(body), skip: skip}
	for {
		ev, err := f.events.Next()
		if err != nil {
			return sourceEnd(err)
		}
		if ev.Data == nil && skip > 0 {
			continue // A comment that stands for no part of the answer.
		}
		end, more, err := f.take(ev)
		if !more || err != nil {
			return end, err
		}
	}
}

func sourceEnd(err error) (End, error) {
	var size *EventSizeError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, errPartial):
		return EndShort, err
	case errors.As(err, &size):
		return EndWrong, err
	default:
		return EndBroken, err
	}
}

// feed is one attempt's part.
type feed struct {
	s      *Stream
	events *Events
	skip   int // Events still to be passed over.
	id     []byte
}

var (
	errNoAnswer = errors.New("an event is no part of an answer")
	errEngine   = errors.New("the engine reports an error")
	errOther    = errors.New("an event belongs to another answer")
	errDiffers  = errors.New("another attempt's answer starts differently")
	errEarlyEnd = errors.New("the end marker came before the answer's end")
)

func (f *feed) take(ev Event) (end End, more bool, err error) {
	if ev.Data == nil {
		return f.s.deliver(ev, false)
	}
	c := look(ev.Data)
	switch {
	case !c.valid:
		return EndWrong, false, errNoAnswer
	case c.failed:
		return EndShort, false, errEngine
	case !f.same(c.id):
		return EndWrong, false, errOther
	case f.skip > 0:
		return f.pass(c)
	case c.done:
		return f.finish(ev)
	}
	return f.s.event(ev, c, f.events.More())
}

// same reports whether an event carries the identifier that the first event
// of this attempt carried.
func (f *feed) same(id []byte) bool {
	if len(id) == 0 {
		return true
	}
	if f.id == nil {
		f.id = bytes.Clone(id)
	}
	return bytes.Equal(f.id, id)
}

// pass compares an event with what was delivered instead of delivering it.
func (f *feed) pass(c chunk) (End, bool, error) {
	if c.done {
		return EndDiffers, false, errDiffers
	}
	f.s.add(f.s.skipped, &c)
	f.s.progress()
	f.skip--
	if f.skip > 0 {
		return EndWhole, true, nil
	}
	var a, b [sha256.Size]byte
	if !bytes.Equal(f.s.skipped.Sum(a[:0]), f.s.sum.Sum(b[:0])) {
		return EndDiffers, false, errDiffers
	}
	return EndWhole, true, nil
}

// add adds what an event says to a sum.
func (s *Stream) add(sum hash.Hash, c *chunk) {
	s.scratch = c.appendContent(s.scratch[:0])
	_, _ = sum.Write(s.scratch)
}

// finish passes on the end marker if the answer has ended.
func (f *feed) finish(ev Event) (End, bool, error) {
	s := f.s
	if s.finished == 0 || s.seen&^s.finished != 0 {
		return EndShort, false, errEarlyEnd
	}
	if s.opt.End != nil {
		s.opt.End()
	}
	end, _, err := s.deliver(ev, false)
	return end, false, err
}

// event passes on a part of the answer.
func (s *Stream) event(ev Event, c chunk, more bool) (End, bool, error) {
	if c.usage != nil {
		s.usage = c.usage
	}
	if c.choices {
		s.seen |= 1 << c.index
		if len(c.finish) > 0 {
			s.finished |= 1 << c.index
		}
	}
	hide := s.opt.HideUsage && !c.choices && c.usage != nil
	end, ok := EndWhole, true
	var err error
	if !hide {
		end, ok, err = s.deliver(ev, more)
	}
	if err != nil {
		return end, ok, err
	}
	s.events++
	s.add(s.sum, &c)
	if c.content() {
		s.tokens++
	}
	s.progress()
	return end, ok, nil
}

func (s *Stream) progress() {
	if s.opt.Progress != nil {
		s.opt.Progress(s.tokens)
	}
}

// deliver writes an event to the caller, and lets it wait in the buffer when
// another one is at hand.
func (s *Stream) deliver(ev Event, more bool) (End, bool, error) {
	s.start()
	s.extend()
	s.record(ev.Raw)
	if s.gone {
		return EndWhole, true, nil
	}
	_, err := s.w.Write(ev.Raw)
	if err == nil && !more {
		err = s.rc.Flush()
	}
	if err == nil {
		return EndWhole, true, nil
	}
	// An answer that is recorded is read to its end without its caller.
	s.gone = s.opt.Record > 0
	if s.gone {
		return EndWhole, true, nil
	}
	return EndCaller, false, err
}

func (s *Stream) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	if s.opt.Header != nil {
		s.opt.Header(h)
	}
	s.w.WriteHeader(http.StatusOK)
}

// extend lets the caller take its time anew.
func (s *Stream) extend() {
	if s.opt.Write <= 0 {
		return
	}
	until := time.Now().Add(s.opt.Write)
	if until.Sub(s.deadline) < deadlineStep {
		return
	}
	s.deadline = until
	_ = s.rc.SetWriteDeadline(until)
}

func (s *Stream) record(raw []byte) {
	if s.opt.Record <= 0 {
		return
	}
	_, _ = s.digest.Write(raw)
	if s.omitted || len(s.copy)+len(raw) > s.opt.Record {
		s.omitted, s.copy = true, nil
		return
	}
	s.copy = append(s.copy, raw...)
}

// Note tells the caller something beside the answer, as a comment that
// clients pass over.
func (s *Stream) Note(text string) {
	_, _, _ = s.deliver(Event{Raw: []byte(": " + text + "\n\n")}, false)
}

// Fail ends a stream that has begun with an error in place of the end
// marker.
func (s *Stream) Fail(err error) {
	s.extend()
	_, body, _ := ErrorJSON(err)
	for _, part := range [][]byte{[]byte("event: error\ndata: "), body, []byte("\n\n")} {
		if _, err := s.w.Write(part); err != nil {
			return
		}
	}
	_ = s.rc.Flush()
}

// Close lets the connection be used for further requests.
func (s *Stream) Close() {
	if s.started {
		_ = s.rc.SetWriteDeadline(time.Time{})
	}
}
