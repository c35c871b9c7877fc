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
	// provenSequence is that number for a part that was answered completely up to
	// provenTime before its first break.
	provenSequence = 5
	provenTime     = time.Minute
	// widespreadBreaks is the number of server runs from which two successive breaks
	// are enough.
	widespreadBreaks = 5
	// confirmTime is how long after a break the server may show that it has survived,
	// before the break counts against a part. A server that has crashed takes longer to come back than
	// survivalTime, during which its answers show that it has survived.
	confirmTime  = 300 * time.Millisecond
	survivalTime = time.Second
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

// countedUntil returns the time until which breaks count.
func (k Kind) countedUntil(now tarragondeal.Instant) tarragondeal.Instant {
	if k == KindPart {
		return now.Add(-confirmTime)
	}
	return now
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
	// Survived is set if the server answered a request that was sent after the break.
	// The break then doesn't count.
	Survived bool
}

// never is the instant of an event that is not known. It is before all others,
// also those from before this process started.
const never = tarragondeal.Instant(math.MinInt64)

// forever is an instant after all others.
const forever = tarragondeal.Instant(math.MaxInt64)

// record holds the breaks of one trait since the last complete answer.
type record struct {
	breaks   []Break // At most one for each run, in the order of At.
	answered tarragondeal.Instant
	permits  *tdshare.Share       // For trials; nil before the first one.
	kept     int                  // The version that is to be written to the store, or has been.
	stored   int                  // The version that was read from the store.
	triedAt  tarragondeal.Instant // When this node last tried it; zero if it hasn't.
}

// add records a break and reports whether it is new.
func (r *record) add(b Break) bool {
	if b.At <= r.answered || slices.ContainsFunc(r.breaks, func(known Break) bool { return known.Run == b.Run }) {
		return false
	}
	if len(r.breaks) == maxBreaks {
		if n := slices.IndexFunc(r.breaks, func(known Break) bool { return known.Survived }); n >= 0 {
			r.breaks = slices.Delete(r.breaks, n, n+1)
		}
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

// survive marks the break at a run as survived and reports whether it was not.
func (r *record) survive(run Run) bool {
	for n := range r.breaks {
		if b := &r.breaks[n]; b.Run == run && !b.Survived {
			b.Survived = true
			return true
		}
	}
	return false
}

// sequence returns the largest number of breaks until a given time that follow one
// another, and the number of all breaks until then. The request of each was sent after
// the break before.
func (r *record) sequence(until tarragondeal.Instant) (successive, all int) {
	var last tarragondeal.Instant
	for _, b := range r.breaks {
		if b.Survived || b.At > until {
			continue
		}
		all++
		if successive == 0 || b.Sent >= last {
			successive, last = successive+1, b.At
		}
	}
	return successive, all
}

// successive returns the largest number of breaks that follow one another.
func (r *record) successive() int {
	n, _ := r.sequence(forever)
	return n
}

// poisonous reports whether, by the breaks until a given time, a trait of the given
// kind has crashed one server after the other.
func (r *record) poisonous(k Kind, until tarragondeal.Instant) bool {
	successive, all := r.sequence(until)
	return successive >= k.sequenceLimit() || successive >= 2 && all >= widespreadBreaks
}

// proven reports whether requests with the trait were answered not long before the
// first break.
func (r *record) proven() bool {
	return r.answered != never && len(r.breaks) > 0 && r.breaks[0].At.Sub(r.answered) <= provenTime
}

// without returns the record without the breaks at runs at which another trait broke
// connections too.
func (r *record) without(other *record) *record {
	out := &record{answered: r.answered}
	for _, b := range r.breaks {
		if !slices.ContainsFunc(other.breaks, func(x Break) bool { return x.Run == b.Run }) {
			out.breaks = append(out.breaks, b)
		}
	}
	return out
}

// explains reports whether all breaks of another trait were at runs at which this one
// broke connections too, and this one broke those to more.
func (r *record) explains(other *record) bool {
	_, own := r.sequence(forever)
	if _, others := other.sequence(forever); own <= others {
		return false
	}
	for _, b := range other.breaks {
		if !b.Survived && !slices.ContainsFunc(r.breaks, func(x Break) bool { return x.Run == b.Run }) {
			return false
		}
	}
	return true
}

// holdUntil returns when a refused trait may be tried again.
func (r *record) holdUntil(k Kind) tarragondeal.Instant {
	doublings := max(0, r.successive()-k.sequenceLimit())
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
	if r.poisonous(k, forever) {
		ttl = refusedTTL
	}
	return now.Sub(r.lastEvent()) > ttl
}
