package tdpoison

import (
	"math"
	"slices"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// maxBreaks bounds the breaks that are kept for a trait.
	maxBreaks = 8
	// requestSequence and partSequence are the numbers of successive breaks from
	// which a trait is refused. A part needs more than a request, since the requests
	// that run beside a poisonous one break with it.
	requestSequence = 2
	partSequence    = 3
	// widespreadBreaks is the number of server runs from which two successive breaks
	// are enough.
	widespreadBreaks = 5
	// firstHold is how long a trait is refused before it is tried again. It
	// doubles with each trial that fails, up to maxHold.
	firstHold = 30 * time.Second
	maxHold   = time.Hour
	// recordTTL is how long a record is kept after its last event, and refusedTTL how
	// long that of a refused trait.
	recordTTL  = time.Minute
	refusedTTL = 2 * time.Hour
)

// Kind is the kind of a trait.
type Kind uint32

// The kinds of traits.
const (
	KindRequest Kind = iota // The fingerprint of a request.
	KindPart                // A part of a prompt.
)

// String returns the name of k in log lines.
func (k Kind) String() string {
	if k == KindPart {
		return "part"
	}
	return "request"
}

// sequenceLimit returns the number of successive breaks from which a trait is
// refused.
func (k Kind) sequenceLimit() int {
	if k == KindPart {
		return partSequence
	}
	return requestSequence
}

// Trait is something that requests to the servers of one pool may have in common.
type Trait struct {
	Kind Kind
	Pool string
	ID   uint64
}

// Run identifies one run of a server.
type Run struct {
	Server  tarragondeal.ServerID
	Started int64 // Unix milliseconds; zero if unknown.
}

// Break is the end of a connection before its answer was complete.
type Break struct {
	Run  Run
	Sent tarragondeal.Instant // When the request was sent.
	At   tarragondeal.Instant
}

// never is the instant of an event that is not known. It is before all others,
// also those from before this process started.
const never = tarragondeal.Instant(math.MinInt64)

// record holds the breaks of one trait since the last complete answer.
type record struct {
	breaks   []Break // At most one for each run, in the order of At.
	answered tarragondeal.Instant
	permits  *tdshare.Share       // For trials; nil before the first one.
	triedAt  tarragondeal.Instant // When this node last tried it; zero if it hasn't.
}

// add records a break and reports whether it is new.
func (r *record) add(b Break) bool {
	if b.At <= r.answered || slices.ContainsFunc(r.breaks, func(known Break) bool { return known.Run == b.Run }) {
		return false
	}
	if len(r.breaks) < maxBreaks {
		n, _ := slices.BinarySearchFunc(r.breaks, b, func(x, y Break) int { return int(x.At - y.At) })
		r.breaks = slices.Insert(r.breaks, n, b)
		return true
	}
	// Only the last one is replaced, by a later one: nodes that learn of the breaks in
	// different orders must not exchange them for ever.
	if last := &r.breaks[maxBreaks-1]; b.At > last.At {
		*last = b
		return true
	}
	return false
}

// clear deletes the breaks up to a complete answer and reports whether there were
// any.
func (r *record) clear(at tarragondeal.Instant) bool {
	n := 0
	for n < len(r.breaks) && r.breaks[n].At <= at {
		n++
	}
	if n == 0 {
		return false
	}
	r.breaks = slices.Delete(r.breaks, 0, n)
	r.answered = max(r.answered, at)
	return true
}

// sequence returns the largest number of breaks that follow one another: the
// request of each was sent after the break before.
func (r *record) sequence() int {
	n := 0
	var last tarragondeal.Instant
	for _, b := range r.breaks {
		if n == 0 || b.Sent >= last {
			n, last = n+1, b.At
		}
	}
	return n
}

// poisonous reports whether a trait of the given kind has broken connections to one
// server after the other.
func (r *record) poisonous(k Kind) bool {
	n := r.sequence()
	return n >= k.sequenceLimit() || n >= 2 && len(r.breaks) >= widespreadBreaks
}

// explains reports whether all breaks of another trait were at runs at which this one
// broke connections too, and this one broke those to more.
func (r *record) explains(other *record) bool {
	if len(r.breaks) <= len(other.breaks) {
		return false
	}
	for _, b := range other.breaks {
		if !slices.ContainsFunc(r.breaks, func(x Break) bool { return x.Run == b.Run }) {
			return false
		}
	}
	return true
}

// holdUntil returns when a refused trait may be tried again.
func (r *record) holdUntil(k Kind) tarragondeal.Instant {
	doublings := max(0, r.sequence()-k.sequenceLimit())
	return r.lastEvent().Add(min(maxHold, firstHold<<doublings))
}

func (r *record) lastEvent() tarragondeal.Instant {
	if len(r.breaks) == 0 {
		return r.answered
	}
	return r.breaks[len(r.breaks)-1].At
}

func (r *record) expired(k Kind, now tarragondeal.Instant) bool {
	ttl := recordTTL
	if r.poisonous(k) {
		ttl = refusedTTL
	}
	return now.Sub(r.lastEvent()) > ttl
}
