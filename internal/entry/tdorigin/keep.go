package tdorigin

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tdlog"
)

const (
	// KeptName names the record in the store of the software that was listed.
	KeptName = "software"
	// keepInterval is how often a node checks whether the record must be written.
	keepInterval = 100 * time.Millisecond
	// keepTimeout bounds one write.
	keepTimeout = time.Second
	// keepers is the number of nodes that may write the record in a period of
	// keepPeriod, each at most once and rankDelay after the one before. Other nodes may
	// in the next one.
	keepers    = 4
	keepPeriod = 5 * time.Second
	rankDelay  = 500 * time.Millisecond
	// goneDelay is how long software must not have been listed before the record says
	// so: a copy of the store may have the record before the entries of servers.
	goneDelay = 5 * time.Second
	// maxKept bounds the software in the record, and maxLogged the bytes of it in a log
	// line.
	maxKept   = 4096
	maxLogged = 1 << 10
)

// keptHistory is the record in the store. Times are in milliseconds since 1970.
type keptHistory struct {
	// Complete is since when all software that was listed is in Software. Zero means
	// always.
	Complete int64          `json:"complete"`
	Software []keptSoftware `json:"software"`
	// Era is the era in which it was written. In a later one it lacks what was listed before
	// the store came back from an earlier copy.
	Era tarragondeal.Era `json:"era,omitempty"`
}

// keptSoftware is software that was listed.
type keptSoftware struct {
	Pool    string `json:"pool"`
	Version string `json:"version"`
	Listed  int64  `json:"listed,omitempty"` // When it was listed last; zero if it still is.
}

// kept is what this node knows of the record in the store.
type kept struct {
	era     tarragondeal.Era      // In which this was known.
	rev     tarragondeal.Revision // Zero if there is no record.
	present map[tarragondeal.Software]bool
	from    tarragondeal.Instant // Since when it is complete; farFuture if it isn't.
}

// keeping is the state of a record that must be written.
type keeping struct {
	wantedAt time.Time // When this node found that it must; zero if it need not.
	failed   int64     // The period of a call that failed.
}

// Load merges the record in the store. It must be called before SetServers if both are
// read at the same time.
func (o *Origins) Load(e tarragondeal.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	era := o.Era()
	if e.Deleted {
		o.kept = kept{era: era}
		return
	}
	now, wall := o.Clock.Now(), o.Wall()
	if o.firstStart { // Another node has run before.
		o.firstStart = false
		o.history.forgetBefore(now)
	}
	o.kept = kept{era: era, rev: e.Revision, from: farFuture}
	var k keptHistory
	if err := json.Unmarshal(e.Value, &k); err != nil {
		o.Log.Warn().Err(tdlog.Bounded(err)).Uint64("revision", uint64(e.Revision)).Msg("can't decode the kept software")
		return
	}
	instant := func(millis int64) tarragondeal.Instant { return now.Add(-max(0, wall.Sub(time.UnixMilli(millis)))) }
	switch {
	case k.Era < era:
		o.Log.Info().Uint64("revision", uint64(e.Revision)).Uint64("era", uint64(k.Era)).Uint64("storeEra", uint64(era)).
			Msg("the kept software is of an earlier era of the store; other software may have been listed since")
	case k.Complete == 0:
		o.kept.from = farPast
	default:
		o.kept.from = instant(k.Complete)
	}
	o.kept.present = make(map[tarragondeal.Software]bool)
	listed := make(map[tarragondeal.Software]tarragondeal.Instant)
	for _, s := range k.Software {
		software := tarragondeal.Software{Pool: s.Pool, Version: s.Version}
		if s.Listed == 0 {
			o.kept.present[software] = true
			listed[software] = now // It may have left since.
		} else if at := instant(s.Listed); now.Sub(at) <= historyTTL {
			listed[software] = at
		}
	}
	o.history.add(listed)
	o.history.extend(o.kept.from)
}

// Keep writes the software that is listed to the store whenever it changes, until ctx
// ends, so that nodes know it that start after all others have ended.
func (o *Origins) Keep(ctx context.Context, store tarragondeal.Store, key string) error {
	for tdclock.Sleep(ctx, keepInterval) {
		value, prev, ok := o.due(o.Current())
		if !ok {
			continue
		}
		o.write(ctx, store, key, value, prev)
	}
	return nil
}

// due returns the record to write, and the revision that it replaces. Current reports
// whether the list of servers is up to date.
func (o *Origins) due(current bool) (value []byte, prev tarragondeal.Revision, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	if era := o.Era(); o.kept.era != era {
		o.kept = kept{era: era} // The store may give its revision again.
	}
	if !current || !o.outdated(now) {
		o.keeping.wantedAt = time.Time{}
		return nil, 0, false
	}
	wall := o.Wall()
	if o.keeping.wantedAt.IsZero() {
		o.keeping.wantedAt = wall
	}
	period := periodOf(wall)
	since := time.Unix(0, period*int64(keepPeriod))
	if o.keeping.wantedAt.After(since) {
		since = o.keeping.wantedAt
	}
	rank := o.rank(period)
	if rank >= keepers || o.keeping.failed == period || wall.Sub(since) < time.Duration(rank)*rankDelay {
		return nil, 0, false
	}
	value, err := json.Marshal(o.encodeKept(now))
	if err != nil {
		o.Log.Error().Err(err).Msg("can't encode the software to keep")
		return nil, 0, false
	}
	return value, o.kept.rev, true
}

// outdated reports whether the record in the store lacks something that this node
// knows.
func (o *Origins) outdated(now tarragondeal.Instant) bool {
	h := &o.history
	if !h.complete {
		return false
	}
	if o.kept.rev == 0 || h.from < o.kept.from && o.kept.from.Sub(h.from) > historyTTL/2 {
		return true
	}
	for s := range h.present {
		if !o.kept.present[s] {
			return true
		}
	}
	for s := range o.kept.present {
		if !h.present[s] && now.Sub(h.last[s]) > goneDelay {
			return true
		}
	}
	return false
}

// periodOf returns the number of the period in which t lies.
func periodOf(t time.Time) int64 { return t.UnixNano() / int64(keepPeriod) }

// rank returns how many nodes may write the record before this one in a period.
func (o *Origins) rank(period int64) int {
	weight := func(n tarragondeal.NodeID) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(n), uint64(period)))
	}
	own, rank := weight(o.Self), 0
	for _, n := range o.Nodes() {
		if weight(n) < own {
			rank++
		}
	}
	return rank
}

func (o *Origins) encodeKept(now tarragondeal.Instant) keptHistory {
	wall := o.Wall()
	millis := func(at tarragondeal.Instant) int64 { return wall.Add(at.Sub(now)).UnixMilli() }
	h := &o.history
	k := keptHistory{Era: o.Era()}
	if h.from != farPast {
		k.Complete = millis(h.from)
	}
	for s, at := range h.last {
		kept := keptSoftware{Pool: s.Pool, Version: s.Version}
		if !h.present[s] {
			kept.Listed = millis(at)
		}
		if h.present[s] || now.Sub(at) <= historyTTL {
			k.Software = append(k.Software, kept)
		}
	}
	slices.SortFunc(k.Software, func(a, b keptSoftware) int { // Those that are listed, and then the latest.
		return cmp.Or(cmp.Compare(min(a.Listed, 1), min(b.Listed, 1)), cmp.Compare(b.Listed, a.Listed),
			cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	if len(k.Software) > maxKept {
		dropped := k.Software[maxKept]
		if dropped.Listed == 0 {
			dropped.Listed = millis(now)
		}
		k.Complete, k.Software = max(k.Complete, dropped.Listed+1), k.Software[:maxKept]
	}
	return k
}

func (o *Origins) write(ctx context.Context, store tarragondeal.Store, key string, value []byte, prev tarragondeal.Revision) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	o.mu.Lock()
	era := o.kept.era
	o.mu.Unlock()
	entry, err := store.Swap(ctx, key, value, prev)
	var conflict *tarragondeal.ConflictError
	switch {
	case era != o.Era():
		o.Log.Info().AnErr("error", err).Uint64("previous", uint64(prev)).Uint64("era", uint64(era)).
			Msg("the era of the store changed while the listed software was written")
		return
	case err == nil:
		o.Log.Info().Uint64("revision", uint64(entry.Revision)).Uint64("previous", uint64(prev)).
			Int("bytes", len(value)).Str("record", string(value[:min(len(value), maxLogged)])).Msg("listed software kept in the store")
		o.Load(entry)
		return
	case errors.As(err, &conflict):
		current := conflict.Current
		current.Deleted = current.Revision == 0
		o.Load(current)
	default:
		o.Log.Info().Err(err).Uint64("previous", uint64(prev)).Msg("the listed software could not be written to the store")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keeping.failed = periodOf(o.Wall())
}
