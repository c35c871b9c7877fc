package tdpoison

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// maxRecords bounds the traits that are recorded.
	maxRecords = 2048
	// maxAnswers bounds the parts that are known to have been answered.
	maxAnswers = 2048
	// evictTo is the number of records that are left when the table is full.
	evictTo = maxRecords * 3 / 4
	// trialRate is how many requests a second the fleet may send to try a trait
	// again, and trialPause how long a node waits after a trial of its own.
	trialRate  = 0.5
	trialPause = 10 * time.Second
)

// Deps are the dependencies of a Table.
type Deps struct {
	Clock tarragondeal.Clock
	Fleet func() tdshare.Fleet // The nodes that share the trials.
	Log   zerolog.Logger
}

// Table holds what a node knows of traits under which connections broke. It is safe
// for concurrent use.
type Table struct {
	Deps

	mu      sync.Mutex
	records map[Trait]*record
	answers *simplelru.LRU[Trait, tarragondeal.Instant] // When parts were last answered completely at this node.
	recent  map[Run]tarragondeal.Instant                // The latest breaks, of the last survivalTime.
	log     []announcement
	seq     uint64 // Number of the last announcement.
	sweptAt tarragondeal.Instant
	silent  map[Run]*silentRun
	unkept  chan unkept // Refused traits that are to be written to the store.
}

// New returns an empty table.
func New(d Deps) *Table {
	// The only error is a size that is not above zero.
	answers, _ := simplelru.NewLRU[Trait, tarragondeal.Instant](maxAnswers, nil)
	return &Table{
		Deps: d, answers: answers, records: make(map[Trait]*record), recent: make(map[Run]tarragondeal.Instant),
		silent: make(map[Run]*silentRun), unkept: make(chan unkept, maxUnkept),
	}
}

// Empty reports whether nothing is recorded, so that no request is refused and no
// answer changes anything.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.Clock.Now(); len(t.records) > 0 && now.Sub(t.sweptAt) > recordTTL {
		t.sweep(now)
	}
	return len(t.records) == 0
}

// Verdict says whether a request may be sent.
type Verdict struct {
	Refused bool
	Trait   Trait         // The trait for which the request is refused.
	Crashes int           // The successive breaks under that trait.
	After   time.Duration // After which it may be accepted.
}

// Check returns the verdict on a request with the given traits.
func (t *Table) Check(traits []Trait) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, trait := range traits {
		r := t.live(trait, now)
		if r == nil || !t.refuses(trait, r, trait.Kind.countedUntil(now)) {
			continue
		}
		after := max(r.holdUntil(trait.Kind), r.triedAt.Add(trialPause)).Sub(now)
		if after <= 0 {
			if t.hasPermit(trait, r) {
				continue
			}
			after = trialPause
		}
		t.keep(trait, r, false)
		return Verdict{Refused: true, Trait: trait, Crashes: r.successive(), After: after}
	}
	return Verdict{}
}

// live returns the record of a trait, or nil if there is none or it has expired.
func (t *Table) live(trait Trait, now tarragondeal.Instant) *record {
	r := t.records[trait]
	if r != nil && r.expired(trait.Kind, now) {
		delete(t.records, trait)
		return nil
	}
	return r
}

// refuses reports whether requests with a trait are refused, or may only be tried. A
// trait is accepted if another one explains its breaks: that one is poisonous, and
// broke connections to the same servers and to more. A part that was answered before
// its first break needs more breaks, without those at servers that one part crashed
// which was never answered. Breaks after until don't count.
func (t *Table) refuses(trait Trait, r *record, until tarragondeal.Instant) bool {
	if !r.poisonous(trait.Kind, until) {
		return false
	}
	proven := trait.Kind == KindPart && r.proven()
	if n, _ := r.sequence(until); proven && n < provenSequence {
		return false
	}
	for other, o := range t.records {
		if other == trait || other.Pool != trait.Pool || !o.poisonous(other.Kind, forever) {
			continue
		}
		if o.poisonous(other.Kind, until) && o.explains(r) {
			return false
		}
		if !proven || other.Kind != KindPart || o.proven() {
			continue
		}
		if n, _ := r.without(o).sequence(until); n < provenSequence {
			return false
		}
	}
	return true
}

// hasPermit reports whether this node may try a refused trait now.
func (t *Table) hasPermit(trait Trait, r *record) bool {
	if r.permits == nil {
		r.permits = tdshare.New(trait.Pool + "/" + hexID(trait.ID))
	}
	return r.permits.Available(t.Fleet(), trialRate)
}

// Sent records that a request with the given traits is sent, after Check has
// accepted it.
func (t *Table) Sent(traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, trait := range traits {
		r := t.live(trait, now)
		if r == nil || r.permits == nil || !t.refuses(trait, r, trait.Kind.countedUntil(now)) {
			continue
		}
		r.permits.Take()
		r.triedAt = now
		t.logEvent(trait, r).Msg("a request with a refused trait is sent as a trial")
	}
}

// Broke records that the connection to a server broke during a request.
func (t *Table) Broke(traits []Trait, b Break) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, trait := range traits {
		answered, ok := t.answers.Get(trait)
		if !ok {
			answered = never
		}
		t.apply(change{trait: trait, kind: changeBroke, b: b, answered: answered}, "")
	}
}

// Answered records that a request got a complete answer.
func (t *Table) Answered(traits []Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for _, trait := range traits {
		if trait.Kind == KindPart {
			t.answers.Add(trait, now)
		} else {
			t.forgetAnswered(trait)
		}
		t.apply(change{trait: trait, kind: changeAnswered, b: Break{At: now}}, "")
	}
}

// Began records that a server began to answer a request that was sent at the given
// time. The server has survived earlier breaks, unless it may have started again since.
func (t *Table) Began(run Run, sent tarragondeal.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.recent[run]
	if !ok || sent < at {
		return
	}
	delete(t.recent, run)
	if t.Clock.Now().Sub(at) > survivalTime {
		return
	}
	for trait, r := range t.records {
		if slices.ContainsFunc(r.breaks, func(b Break) bool { return b.Run == run && b.At <= sent }) {
			t.apply(change{trait: trait, kind: changeSurvived, b: Break{Run: run, At: t.Clock.Now()}}, "")
		}
	}
}

// noteBreak records when connections to a run broke last.
func (t *Table) noteBreak(b Break) {
	now := t.Clock.Now()
	for run, at := range t.recent {
		if now.Sub(at) > survivalTime {
			delete(t.recent, run)
		}
	}
	t.recent[b.Run] = max(t.recent[b.Run], b.At)
}

// changeKind says what has happened.
type changeKind int

const (
	changeBroke    changeKind = iota // A connection broke.
	changeAnswered                   // A request with the trait was answered completely, at b.At.
	changeSurvived                   // The server survived the break at b.Run.
)

// change changes the record of a trait.
type change struct {
	trait Trait
	kind  changeKind
	b     Break
	// answered is, for a break, when a request with the trait was last answered
	// completely, as far as the node knows at which it broke.
	answered tarragondeal.Instant
}

// applyTo applies the change to a record and reports whether it is new.
func (c *change) applyTo(r *record) bool {
	switch c.kind {
	case changeAnswered:
		return r.clear(c.b.At)
	case changeSurvived:
		return r.survive(c.b.Run)
	default:
		learned := r.answered == never && c.answered != never && c.answered < c.b.At
		if learned {
			r.answered = c.answered
		}
		return r.add(c.b) || learned
	}
}

// apply applies a change and, if it is new, announces it. From is the peer that
// announced it, or empty for this node.
func (t *Table) apply(c change, from tarragondeal.NodeID) {
	r := t.recordFor(c)
	if r == nil {
		return
	}
	if c.kind == changeBroke {
		t.noteBreak(c.b)
	}
	before := t.refuses(c.trait, r, forever)
	if !c.applyTo(r) {
		return
	}
	t.announce(c, from)
	after := t.refuses(c.trait, r, forever)
	if after && from == "" && c.kind == changeBroke && c.trait.Kind == KindRequest {
		// A node that has seen one of the breaks writes them: no request may be refused
		// for them before all nodes have ended.
		t.keep(c.trait, r, true)
	}
	message := ""
	switch {
	case !before && after:
		message = "servers crashed one after the other under requests with a trait; they are refused"
	case before && !after:
		message = "requests with a refused trait are accepted again"
	case c.kind == changeBroke && r.successive() > 1:
		message = "another server crashed under requests with a trait"
	default:
		return
	}
	line := t.logEvent(c.trait, r).Str("server", string(c.b.Run.Server)).Bool("answered", c.kind == changeAnswered)
	if from != "" {
		line = line.Str("peer", string(from))
	}
	line.Msg(message)
}

// recordFor returns the record to which a change applies, or nil if there is none. A
// recent break begins a new record if the old one has expired. The breaks of a peer
// may all be old.
func (t *Table) recordFor(c change) *record {
	now := t.Clock.Now()
	r := t.records[c.trait]
	if r != nil && (c.kind != changeBroke || now.Sub(c.b.At) > recordTTL || !r.expired(c.trait.Kind, now)) {
		return r
	}
	if c.kind != changeBroke {
		return nil
	}
	delete(t.records, c.trait)
	t.evict(now)
	r = &record{answered: never}
	t.records[c.trait] = r
	return r
}

// evict makes room if the table is full. Records of poisonous traits go last.
func (t *Table) evict(now tarragondeal.Instant) {
	if len(t.records) < maxRecords {
		return
	}
	t.sweep(now)
	for _, poisonousToo := range []bool{false, true} {
		for trait, r := range t.records {
			if len(t.records) <= evictTo {
				return
			}
			if poisonousToo || !r.poisonous(trait.Kind, forever) {
				delete(t.records, trait)
			}
		}
	}
}

// sweep deletes expired records.
func (t *Table) sweep(now tarragondeal.Instant) {
	t.sweptAt = now
	for trait, r := range t.records {
		if r.expired(trait.Kind, now) {
			delete(t.records, trait)
		}
	}
}

func hexID(id uint64) string { return strconv.FormatUint(id, 16) }

func (t *Table) logEvent(trait Trait, r *record) *zerolog.Event {
	successive, all := r.sequence(forever)
	return t.Log.Info().Stringer("trait", trait.Kind).Str("id", hexID(trait.ID)).Str("pool", trait.Pool).
		Int("successive", successive).Int("breaks", all)
}
