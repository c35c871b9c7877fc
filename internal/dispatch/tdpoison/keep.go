package tdpoison

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tdlog"
)

const (
	// partPrefix and requestPrefix begin the names of the leases under which refused
	// traits are kept. Nodes of builds before requests were kept read every record under
	// partPrefix as that of a part.
	partPrefix    = "poison/"
	requestPrefix = "crash/"
	// keepTTL is how long a refused trait is kept in the store.
	keepTTL = 10 * time.Minute
	// keepDelay bounds the random delay before a trait is written. Meanwhile another
	// node may write it.
	keepDelay = time.Second
	// keepPause is the pause after each write.
	keepPause = 200 * time.Millisecond
	// keepTimeout bounds one write.
	keepTimeout = time.Second
	// maxUnkept bounds the traits that wait to be written.
	maxUnkept = 16
)

// unkept is a trait that is to be written to the store.
type unkept struct {
	trait Trait
	// seen is set if this node saw the last break, so that no other node is likely to
	// write the trait.
	seen bool
}

// keptTrait is a refused trait in the store.
type keptTrait struct {
	Pool   string      `json:"pool"`
	ID     string      `json:"id"` // In hex.
	Breaks []keptBreak `json:"breaks"`
}

// keptBreak is a break in the store. Times are in milliseconds since 1970.
type keptBreak struct {
	Server  string `json:"server"`
	Started int64  `json:"started"`
	Sent    int64  `json:"sent"`
	At      int64  `json:"at"`
}

// keep arranges for a refused trait to be written to the store. A request is written once
// more after each further break, as that doubles the time until it is tried.
func (t *Table) keep(trait Trait, r *record, seen bool) {
	if max(r.kept, r.stored) >= keptVersion(trait, r) {
		return
	}
	select {
	case t.unkept <- unkept{trait: trait, seen: seen}:
		r.kept = keptVersion(trait, r)
	default: // The next request that is refused for it tries again.
	}
}

// keptVersion returns the version of a trait's record in the store, which is its number of
// successive breaks for a request. A part has one version.
func keptVersion(trait Trait, r *record) int {
	if trait.Kind == KindPart {
		return 1
	}
	return r.successive()
}

// Keep writes refused traits to the store until ctx ends, so that nodes know them that
// start after all others have ended.
func (t *Table) Keep(ctx context.Context, store tarragondeal.Store) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-t.unkept:
			if !u.seen && !tdclock.Sleep(ctx, rand.N(keepDelay)) {
				return nil
			}
			t.write(ctx, store, u.trait)
			if !tdclock.Sleep(ctx, keepPause) {
				return nil
			}
		}
	}
}

// write writes a refused trait, unless another node has done so.
func (t *Table) write(ctx context.Context, store tarragondeal.Store, trait Trait) {
	name, value, ok := t.encodeKept(trait)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err := store.Acquire(ctx, name, value, keepTTL)
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[trait]
	switch {
	case err != nil:
		t.Log.Info().Err(err).Stringer("trait", trait.Kind).Str("id", hexID(trait.ID)).Str("pool", trait.Pool).
			Msg("a refused trait could not be written to the store")
		if r != nil {
			r.kept = 0
		}
	case r != nil:
		t.logEvent(trait, r).Str("name", name).Msg("a refused trait is written to the store")
	}
}

// keptName returns the name of the lease under which a version of a trait is kept.
func keptName(trait Trait, version int) string {
	h := xxhash.New()
	_, _ = h.WriteString(trait.Pool)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, trait.ID))
	if trait.Kind == KindPart {
		return fmt.Sprintf("%s%016x", partPrefix, h.Sum64())
	}
	return fmt.Sprintf("%s%016x-%d", requestPrefix, h.Sum64(), version)
}

// encodeKept returns the name and the value to write for a trait. It reports false if the
// trait is no longer refused, or is in the store.
func (t *Table) encodeKept(trait Trait) (name, value string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	r := t.live(trait, now)
	if r == nil || !t.refuses(trait, r, trait.Kind.countedUntil(now)) {
		return "", "", false
	}
	version := keptVersion(trait, r)
	if r.stored >= version {
		return "", "", false
	}
	wall := t.Clock.Wall()
	millis := func(at tarragondeal.Instant) int64 { return wall.Add(at.Sub(now)).UnixMilli() }
	k := keptTrait{Pool: trait.Pool, ID: hexID(trait.ID)}
	for _, b := range r.breaks {
		if !b.Survived {
			k.Breaks = append(k.Breaks, keptBreak{Server: string(b.Run.Server), Started: b.Run.Started, Sent: millis(b.Sent), At: millis(b.At)})
		}
	}
	text, err := json.Marshal(k)
	if err != nil {
		t.Log.Error().Err(err).Msg("can't encode a refused trait")
		return "", "", false
	}
	return keptName(trait, version), string(text), true
}

// keptKind returns the kind of the traits that are kept under names like the given one. It
// reports false for the names of other leases.
func keptKind(name string) (Kind, bool) {
	switch {
	case strings.HasPrefix(name, partPrefix):
		return KindPart, true
	case strings.HasPrefix(name, requestPrefix):
		return KindRequest, true
	}
	return 0, false
}

// Load merges a refused trait that the store keeps under the name of a lease. It ignores
// other leases.
func (t *Table) Load(name string, value []byte) {
	kind, ok := keptKind(name)
	if !ok {
		return
	}
	var k keptTrait
	err := json.Unmarshal(value, &k)
	id, perr := strconv.ParseUint(k.ID, 16, 64)
	if err = errors.Join(err, perr); err != nil {
		t.Log.Warn().Err(tdlog.Bounded(err)).Str("name", name).Msg("can't decode a refused trait from the store")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, wall := t.Clock.Now(), t.Clock.Wall()
	instant := func(millis int64) tarragondeal.Instant {
		return now.Add(-min(refusedTTL, max(0, wall.Sub(time.UnixMilli(millis)))))
	}
	trait := Trait{Kind: kind, Pool: k.Pool, ID: id}
	for _, b := range slices.Backward(k.Breaks) { // The latest first, as in snapshot.
		t.apply(change{trait: trait, kind: changeBroke, answered: never, b: Break{
			Run: Run{Server: tarragondeal.ServerID(b.Server), Started: b.Started}, Sent: instant(b.Sent), At: instant(b.At),
		}}, storeSource)
	}
	if r := t.records[trait]; r != nil {
		r.stored = max(r.stored, keptVersion(trait, r))
	}
}

// storeSource is the source of changes that were read from the store. All nodes read
// them, so that they are not announced.
const storeSource = tarragondeal.NodeID("store")
