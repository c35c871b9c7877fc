package tdorigin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// recordTTL is how long a record is kept after its last announcement.
	recordTTL = 30 * time.Second
	// refreshInterval is how often an open stream is announced again.
	refreshInterval = 10 * time.Second
	// maxRecords bounds the records: 2,000 streams a second for twice recordTTL.
	maxRecords = 120_000
	// minAge is the least age that is allowed for a stream without a record. The
	// deadline of its class may have been longer when it began.
	minAge = 10 * time.Second
	// findTimeout is how long Find waits for a record that another node may have
	// announced just before: the longest time to all nodes of a fleet with relays.
	findTimeout = 500 * time.Millisecond
	// findInterval is how often Find looks for it.
	findInterval = 10 * time.Millisecond
	// retryAfter is the retry delay in a refusal.
	retryAfter = 500 * time.Millisecond
)

// key is a digest of a workspace and a request. A key takes keyBytes in messages:
// two of 100,000 streams are alike with a probability of 1 in 200.
type key uint64

const (
	keyBytes = 5
	keyMask  = 1<<(8*keyBytes) - 1
)

func keyOf(workspace string, request tarragondeal.RequestID) key {
	return key(xxhash.Sum64String(workspace+"\x00"+string(request)) & keyMask)
}

// record is what is known of a stream.
type record struct {
	software *tarragondeal.Software
	at       tarragondeal.Instant // When it was announced last.
	// other is set if streams with the same key began at two kinds of software: of
	// two requests, or of one that was sent twice.
	other *tarragondeal.Software
}

// queued is an entry of the queue of records to expire.
type queued struct {
	key key
	at  tarragondeal.Instant
}

// Deps are the dependencies of an Origins.
type Deps struct {
	Clock tarragondeal.Clock
	// Current reports whether this node's list of servers is up to date. It may
	// take locks under which SetServers is called.
	Current func() bool
	// Confirm makes this node's list of servers as new as the store's at the time of the
	// call, and returns an error if it can't. It may call SetServers.
	Confirm func(context.Context) error
	Self    tarragondeal.NodeID
	Nodes   func() []tarragondeal.NodeID // All nodes in the fleet, including Self.
	Wall    func() time.Time             // A clock on which the nodes agree.
	Era     func() tarragondeal.Era      // The era of the store. Nil means the first one.
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Options configure an Origins.
type Options struct {
	// FirstStart is set if no node of the deployment has run before. A record in the
	// store refutes it.
	FirstStart bool
}

// Origins implements tarragondeal.StreamOrigins. It is safe for concurrent use.
type Origins struct {
	Deps

	mu      sync.Mutex
	records map[key]record
	expiry  []queued // In the order of arrival.
	open    map[key]tarragondeal.Instant
	known   map[tarragondeal.Software]*tarragondeal.Software // Shared by the records.
	log     []announcement
	seq     uint64
	peers   map[tarragondeal.NodeID]tarragondeal.Instant // When the last message of each was received.
	history history
	kept    kept
	keeping keeping
	// firstStart is set while what this node knows of earlier software rests on
	// FirstStart.
	firstStart bool
}

// New returns an Origins without records.
func New(d Deps, o Options) *Origins {
	if d.Era == nil {
		d.Era = func() tarragondeal.Era { return 0 }
	}
	return &Origins{
		Deps: d, records: make(map[key]record), open: make(map[key]tarragondeal.Instant),
		known: make(map[tarragondeal.Software]*tarragondeal.Software), history: newHistory(o.FirstStart),
		peers: make(map[tarragondeal.NodeID]tarragondeal.Instant), firstStart: o.FirstStart,
	}
}

// Began implements tarragondeal.StreamOrigins. A request without an ID, or software
// without a version, leaves no record.
func (o *Origins) Began(workspace string, request tarragondeal.RequestID, s tarragondeal.Software) (ended func()) {
	if request == "" || !s.Known() {
		return func() {}
	}
	k := keyOf(workspace, request)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if o.add(k, s, now, now) {
		o.append(announcement{key: k, software: o.intern(s)})
	}
	o.open[k] = now
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, k)
	}
}

// intern returns the shared copy of s.
func (o *Origins) intern(s tarragondeal.Software) *tarragondeal.Software {
	if shared := o.known[s]; shared != nil {
		return shared
	}
	const most = 1 << 10 // Versions come and go; records keep their copies.
	if len(o.known) >= most {
		clear(o.known)
	}
	o.known[s] = &s
	return &s
}

// add records an announcement that was made at the given time. It reports whether it
// says anything new. A record that is known is renewed only by a later announcement:
// nodes that repeat it to one another would keep it for ever.
func (o *Origins) add(k key, s tarragondeal.Software, at, now tarragondeal.Instant) bool {
	o.evict(now)
	if now.Sub(at) > recordTTL {
		return false
	}
	r, ok := o.records[k]
	differs := ok && *r.software != s
	if ok && (!differs || r.other != nil) && at.Sub(r.at) <= refreshInterval/2 {
		return false
	}
	if differs {
		r.other = r.software
	}
	r.software, r.at = o.intern(s), max(r.at, at)
	o.records[k] = r
	o.expiry = append(o.expiry, queued{key: k, at: r.at})
	return true
}

// evict deletes records that have expired, and the oldest if there are too many.
func (o *Origins) evict(now tarragondeal.Instant) {
	n := 0
	for ; n < len(o.expiry); n++ {
		q := o.expiry[n]
		if now.Sub(q.at) <= recordTTL && len(o.expiry)-n < maxRecords {
			break
		}
		if o.records[q.key].at == q.at { // Not announced again since.
			delete(o.records, q.key)
		}
	}
	o.expiry = o.expiry[n:]
}

// Find implements tarragondeal.StreamOrigins. It waits for an announcement that may be
// on its way. Without one, the software of the only version is returned only if the store has
// confirmed the list of servers since the call: this process may have stood still.
func (o *Origins) Find(ctx context.Context, q tarragondeal.OriginQuery) (tarragondeal.Software, error) {
	start := o.Clock.Now()
	confirmed := false
	for {
		s, source := o.find(q)
		if source == sourceOnly && !confirmed {
			if confirmed = o.confirm(ctx, q, start); confirmed {
				continue
			}
			source = ""
		}
		now := o.Clock.Now()
		waited := now.Sub(start)
		if source == "" && q.Request != "" && waited < findTimeout && tdclock.Sleep(ctx, findInterval) {
			continue
		}
		o.logFind(q, s, source, waited)
		if source == "" {
			return tarragondeal.Software{}, &tarragondeal.RefusedError{
				Reason: tarragondeal.ReasonUnknownVersion, Ran: tarragondeal.RanNot, RetryAfter: retryAfter,
				Detail: "it is not known which version of the backend servers began the stream; request it from its start",
			}
		}
		return s, nil
	}
}

// confirm confirms the list of servers for a lookup that began at start, and reports whether
// it did.
func (o *Origins) confirm(ctx context.Context, q tarragondeal.OriginQuery, start tarragondeal.Instant) bool {
	ctx, cancel := context.WithTimeout(ctx, max(0, findTimeout-o.Clock.Now().Sub(start)))
	defer cancel()
	err := o.Confirm(ctx)
	if err != nil {
		o.Log.Info().Err(err).Str("resumes", string(q.Request)).Msg("list of servers not confirmed for a stream that is resumed")
	}
	return err == nil
}

// Sources of an answer of find.
const (
	sourceRecord = "record"
	sourceOnly   = "onlyVersion"
)

// find returns the software at which a stream began, and how that is known; the
// source is empty if it isn't. sourceOnly holds as far as this node's list of servers
// goes.
func (o *Origins) find(q tarragondeal.OriginQuery) (tarragondeal.Software, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.evict(now)
	if r, ok := o.records[keyOf(q.Workspace, q.Request)]; ok && q.Request != "" && now.Sub(r.at) <= recordTTL {
		if r.other != nil {
			return tarragondeal.Software{}, ""
		}
		return *r.software, sourceRecord
	}
	if len(q.Pools) != 1 {
		return tarragondeal.Software{}, ""
	}
	if s, ok := o.history.only(q.Pools[0], min(max(q.MaxAge, minAge), historyTTL), now); ok {
		return s, sourceOnly
	}
	return tarragondeal.Software{}, ""
}

func (o *Origins) logFind(q tarragondeal.OriginQuery, s tarragondeal.Software, source string, waited time.Duration) {
	o.mu.Lock()
	records := len(o.records)
	now := o.Clock.Now()
	listed := o.history.listed(q.Pools, now)
	known := o.history.completeFor(now)
	o.mu.Unlock()
	o.Scope.Tagged(map[string]string{"source": source}).Counter("found").Inc(1)
	o.Log.Info().Str("resumes", string(q.Request)).Str("workspace", q.Workspace).Strs("pools", q.Pools).
		Str("source", source).Str("pool", s.Pool).Str("version", s.Version).Dur("waited", waited).Int("records", records).
		Strs("listed", listed).Dur("listedFor", known).Dur("maxAge", q.MaxAge).Msg("version looked up for a stream that is resumed")
}
