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
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
)

const (
	// NamePrefix begins the names of the leases under which refused parts are kept.
	NamePrefix = "poison/"
	// keepTTL is how long a refused part is kept in the store.
	keepTTL = 10 * time.Minute
	// keepDelay bounds the random delay before a part is written. Meanwhile another
	// node may write it.
	keepDelay = time.Second
	// keepTimeout bounds one write.
	keepTimeout = time.Second
	// maxUnkept bounds the parts that wait to be written.
	maxUnkept = 16
)

// keptPart is a refused part in the store.
type keptPart struct {
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

// keep arranges for a refused part to be written to the store.
func (t *Table) keep(trait Trait, r *record) {
	if trait.Kind != KindPart || r.kept {
		return
	}
	select {
	case t.unkept <- trait:
		r.kept = true
	default: // The next request that is refused for it tries again.
	}
}

// Keep writes refused parts to the store until ctx ends, so that nodes know them that
// start after all others have ended.
func (t *Table) Keep(ctx context.Context, store tarragondeal.Store) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case trait := <-t.unkept:
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(rand.N(keepDelay)):
			}
			t.write(ctx, store, trait)
		}
	}
}

// write writes a refused part, unless another node has done so.
func (t *Table) write(ctx context.Context, store tarragondeal.Store, trait Trait) {
	value, ok := t.encodeKept(trait)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err := store.Acquire(ctx, keptName(trait), value, keepTTL)
	var conflict *tarragondeal.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return
	}
	t.Log.Info().Err(err).Str("id", hexID(trait.ID)).Str("pool", trait.Pool).Msg("a refused trait could not be written to the store")
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[trait]; r != nil {
		r.kept = false
	}
}

// keptName returns the name of the lease under which a part is kept.
func keptName(trait Trait) string {
	h := xxhash.New()
	_, _ = h.WriteString(trait.Pool)
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, trait.ID))
	return fmt.Sprintf("%s%016x", NamePrefix, h.Sum64())
}

// encodeKept returns the value to write for a part. It reports false if the part is no
// longer refused, or is in the store.
func (t *Table) encodeKept(trait Trait) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	r := t.live(trait, now)
	if r == nil || r.stored || !t.refuses(trait, r, trait.Kind.countedUntil(now)) {
		return "", false
	}
	wall := t.Clock.Wall()
	millis := func(at tarragondeal.Instant) int64 { return wall.Add(at.Sub(now)).UnixMilli() }
	k := keptPart{Pool: trait.Pool, ID: hexID(trait.ID)}
	for _, b := range r.breaks {
		if !b.Survived {
			k.Breaks = append(k.Breaks, keptBreak{Server: string(b.Run.Server), Started: b.Run.Started, Sent: millis(b.Sent), At: millis(b.At)})
		}
	}
	value, err := json.Marshal(k)
	if err != nil {
		t.Log.Error().Err(err).Msg("can't encode a refused trait")
		return "", false
	}
	return string(value), true
}

// Load merges a refused part from the store.
func (t *Table) Load(value []byte) {
	var k keptPart
	err := json.Unmarshal(value, &k)
	id, perr := strconv.ParseUint(k.ID, 16, 64)
	if err = errors.Join(err, perr); err != nil {
		t.Log.Warn().Err(tdlog.Bounded(err)).Msg("can't decode a refused trait from the store")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, wall := t.Clock.Now(), t.Clock.Wall()
	instant := func(millis int64) tarragondeal.Instant {
		return now.Add(-min(refusedTTL, max(0, wall.Sub(time.UnixMilli(millis)))))
	}
	trait := Trait{Kind: KindPart, Pool: k.Pool, ID: id}
	for _, b := range slices.Backward(k.Breaks) { // The latest first, as in snapshot.
		t.apply(change{trait: trait, kind: changeBroke, answered: never, b: Break{
			Run: Run{Server: tarragondeal.ServerID(b.Server), Started: b.Started}, Sent: instant(b.Sent), At: instant(b.At),
		}}, storeSource)
	}
	if r := t.records[trait]; r != nil {
		r.stored = true
	}
}

// storeSource is the source of changes that were read from the store. All nodes read
// them, so that they are not announced.
const storeSource = tarragondeal.NodeID("store")
