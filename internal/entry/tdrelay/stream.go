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

// End is the way in which one part of an answer ended.
type End int

// The ways in which a part of an answer ends.
const (
	EndComplete   End = iota // The answer is complete.
	EndBroken                // The connection to the backend server broke.
	EndTruncated             // The connection did not break, but the answer ended before it was complete.
	EndInvalid               // The data is not valid, or belongs to another request.
	EndDiverged              // A rerun's answer differs from what was delivered before.
	EndCallerGone            // Writing to the caller failed.
)

// deadlineStep is the least by which the write deadline is moved, so that it
// is not set for every event.
const deadlineStep = time.Second

// Options configure a Stream.
type Options struct {
	// Header may add header fields. It is called once, before the first byte is
	// written.
	Header func(http.Header)
	// Progress is called after each event with the number of tokens delivered
	// so far.
	Progress func(tokens int)
	// OnEnd is called before the end marker is written. Until then the caller
	// knows that the answer is not complete.
	OnEnd func()
	// WriteTimeout is the timeout of a write to the caller; zero means no timeout.
	WriteTimeout time.Duration
	// HideUsage drops events that hold nothing but usage.
	HideUsage bool
	// MaxRecordBytes is the maximum size in bytes of a copy to keep of the
	// answer. Zero keeps none.
	MaxRecordBytes int
}

// Stream relays a streamed answer to one caller. Several attempts may each
// supply a part of it.
type Stream struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	opt Options

	started         bool
	deadline        time.Time
	events          int // Received from engines, hidden ones included.
	tokens          int
	usage           *Usage
	contentHash     hash.Hash // Of the content of the events counted by events.
	skippedHash     hash.Hash // Of the content of a rerun's skipped events.
	scratch         []byte
	choicesSeen     uint64 // Bit set of the choices that have begun, by index.
	choicesFinished uint64 // Bit set of the choices that have ended, by index.
	recordHash      hash.Hash
	record          []byte
	omitted         bool
	callerGone      bool // A write failed, and the rest of the answer is only recorded.
}

// NewStream returns a Stream that writes to w.
func NewStream(w http.ResponseWriter, o Options) *Stream {
	s := &Stream{w: w, rc: http.NewResponseController(w), opt: o, contentHash: sha256.New()}
	if o.MaxRecordBytes > 0 {
		s.recordHash = sha256.New()
	}
	return s
}

// Started reports whether anything has been written to the caller.
func (s *Stream) Started() bool { return s.started }

// Events returns the number of events received and relayed or hidden.
func (s *Stream) Events() int { return s.events }

// Tokens returns the number of tokens delivered, counting each event that has
// content as one token.
func (s *Stream) Tokens() int { return s.tokens }

// Usage returns the usage that the engine reported last, or nil.
func (s *Stream) Usage() *Usage { return s.usage }

// Recorded returns a copy of the answer and its SHA-256 digest. Omitted is true
// and body nil if the answer is larger than Options.MaxRecordBytes.
func (s *Stream) Recorded() (body, digest []byte, omitted bool) {
	return s.record, s.recordHash.Sum(nil), s.omitted
}

// Feed relays one attempt's answer. The first skip events were delivered by an
// earlier attempt: they are compared with those events and not written again.
func (s *Stream) Feed(body io.Reader, skip int) (End, error) {
	if skip > 0 {
		s.skippedHash = sha256.New()
	}
	f := feed{s: s, events: NewEvents(body), skip: skip}
	for {
		ev, err := f.events.Next()
		if err != nil {
			return readErrorEnd(err)
		}
		if ev.Data == nil && skip > 0 {
			continue // Comments are not counted in skip.
		}
		if ev.IsEmpty() && !s.started {
			continue // Another attempt can still answer.
		}
		end, more, err := f.handleEvent(ev)
		if !more || err != nil {
			return end, err
		}
	}
}

// readErrorEnd returns the End for an error of Events.Next.
func readErrorEnd(err error) (End, error) {
	var size *EventSizeError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, errPartial):
		return EndTruncated, err
	case errors.As(err, &size):
		return EndInvalid, err
	default:
		return EndBroken, err
	}
}

// feed is the state of one call to Stream.Feed.
type feed struct {
	s      *Stream
	events *Events
	skip   int // Events still to be compared and not written.
	id     []byte
}

var (
	errNotChunk    = errors.New("event is not a chunk of an answer")
	errForeign     = errors.New("stream holds something else than events")
	errEngine      = errors.New("engine reported an error")
	errOtherAnswer = errors.New("event belongs to another answer")
	errDiverged    = errors.New("answer of the rerun differs from what was delivered")
	errEarlyEnd    = errors.New("end marker received before the end of the answer")
)

func (f *feed) handleEvent(ev Event) (end End, more bool, err error) {
	switch {
	case ev.Data == nil && ev.Unknown, ev.Head:
		return EndTruncated, false, errForeign
	case ev.Data == nil:
		return f.s.deliver(ev, false)
	}
	c := scanChunk(ev.Data)
	switch {
	case !c.valid:
		return EndInvalid, false, errNotChunk
	case c.failed:
		return EndTruncated, false, errEngine
	case !f.sameID(c.id):
		return EndInvalid, false, errOtherAnswer
	case f.skip > 0:
		return f.skipChunk(c)
	case c.done:
		return f.relayEndMarker(ev)
	}
	return f.s.relayChunk(ev, c, f.events.More())
}

// sameID reports whether id is that of the attempt's first event that has one.
// An empty id always matches.
func (f *feed) sameID(id []byte) bool {
	if len(id) == 0 {
		return true
	}
	if f.id == nil {
		f.id = bytes.Clone(id)
	}
	return bytes.Equal(f.id, id)
}

// skipChunk hashes a chunk instead of writing it. After the last chunk to skip
// it compares the hash with that of the chunks delivered before.
func (f *feed) skipChunk(c chunk) (End, bool, error) {
	if c.done {
		return EndDiverged, false, errDiverged
	}
	f.s.addToHash(f.s.skippedHash, &c)
	f.s.reportProgress()
	f.skip--
	if f.skip > 0 {
		return EndComplete, true, nil
	}
	var a, b [sha256.Size]byte
	if !bytes.Equal(f.s.skippedHash.Sum(a[:0]), f.s.contentHash.Sum(b[:0])) {
		return EndDiverged, false, errDiverged
	}
	return EndComplete, true, nil
}

// addToHash adds the content of a chunk to a hash.
func (s *Stream) addToHash(h hash.Hash, c *chunk) {
	s.scratch = c.appendContent(s.scratch[:0])
	_, _ = h.Write(s.scratch)
}

// relayEndMarker writes the end marker if every choice that has begun has
// ended.
func (f *feed) relayEndMarker(ev Event) (End, bool, error) {
	s := f.s
	if s.choicesFinished == 0 || s.choicesSeen&^s.choicesFinished != 0 {
		return EndTruncated, false, errEarlyEnd
	}
	if s.opt.OnEnd != nil {
		s.opt.OnEnd()
	}
	end, _, err := s.deliver(ev, false)
	return end, false, err
}

// relayChunk writes a chunk of the answer to the caller and counts it. More
// reports that another event is already buffered.
func (s *Stream) relayChunk(ev Event, c chunk, more bool) (End, bool, error) {
	if c.usage != nil {
		s.usage = c.usage
	}
	if c.choices {
		s.choicesSeen |= 1 << c.index
		if len(c.finish) > 0 {
			s.choicesFinished |= 1 << c.index
		}
	}
	hide := s.opt.HideUsage && !c.choices && c.usage != nil
	end, ok := EndComplete, true
	var err error
	if !hide {
		end, ok, err = s.deliver(ev, more)
	}
	if err != nil {
		return end, ok, err
	}
	s.events++
	s.addToHash(s.contentHash, &c)
	if c.hasContent() {
		s.tokens++
	}
	s.reportProgress()
	return end, ok, nil
}

func (s *Stream) reportProgress() {
	if s.opt.Progress != nil {
		s.opt.Progress(s.tokens)
	}
}

// deliver writes an event to the caller. It flushes the connection unless more
// reports that another event follows at once.
func (s *Stream) deliver(ev Event, more bool) (End, bool, error) {
	s.writeHeader()
	s.extendDeadline()
	s.appendRecord(ev.Raw)
	if s.callerGone {
		return EndComplete, true, nil
	}
	_, err := s.w.Write(ev.Raw)
	if err == nil && !more {
		err = s.rc.Flush()
	}
	if err == nil {
		return EndComplete, true, nil
	}
	// The rest of an answer that is recorded is read although the caller is
	// gone.
	s.callerGone = s.opt.MaxRecordBytes > 0
	if s.callerGone {
		return EndComplete, true, nil
	}
	return EndCallerGone, false, err
}

func (s *Stream) writeHeader() {
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

// extendDeadline sets the write deadline from now, at most once per
// deadlineStep.
func (s *Stream) extendDeadline() {
	if s.opt.WriteTimeout <= 0 {
		return
	}
	until := time.Now().Add(s.opt.WriteTimeout)
	if until.Sub(s.deadline) < deadlineStep {
		return
	}
	s.deadline = until
	_ = s.rc.SetWriteDeadline(until)
}

func (s *Stream) appendRecord(raw []byte) {
	if s.opt.MaxRecordBytes <= 0 {
		return
	}
	_, _ = s.recordHash.Write(raw)
	if s.omitted || len(s.record)+len(raw) > s.opt.MaxRecordBytes {
		s.omitted, s.record = true, nil
		return
	}
	s.record = append(s.record, raw...)
}

// WriteComment writes text to the caller as a comment, which clients ignore.
func (s *Stream) WriteComment(text string) {
	_, _, _ = s.deliver(Event{Raw: []byte(": " + text + "\n\n")}, false)
}

// Fail ends a started stream with an error event instead of the end marker.
func (s *Stream) Fail(err error) {
	s.extendDeadline()
	_, body, _ := ErrorJSON(err)
	for _, part := range [][]byte{[]byte("event: error\ndata: "), body, []byte("\n\n")} {
		if _, err := s.w.Write(part); err != nil {
			return
		}
	}
	_ = s.rc.Flush()
}

// Close clears the write deadline, so that the connection can be reused.
func (s *Stream) Close() {
	if s.started {
		_ = s.rc.SetWriteDeadline(time.Time{})
	}
}
