package tdreporter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/account/tdusage"
)

// Keys of the billing log in the store.
const (
	logPrefix   = "usage/log/"
	piecePrefix = "usage/piece/"
	sentKey     = "usage/sent"
)

const (
	logPageSize   = 32
	maxPieceLines = 4000
	// maxBilledGenerations bounds the source generations of one entry, so
	// that the entry stays below the store's limit on the size of a value.
	maxBilledGenerations = 6000
)

// LogEntry is an entry of the billing log: a window that was closed.
type LogEntry struct {
	Number int                   `json:"number"`
	Window int64                 `json:"window"` // Its start in Unix seconds.
	Length tarragondeal.Duration `json:"length"`
	Pieces []string              `json:"pieces"` // Digests of the pieces.
	// Corrections is the number of lines that include late usage of
	// earlier windows.
	Corrections int                 `json:"corrections"`
	Billed      []string            `json:"billed"` // Keys of source generations.
	By          tarragondeal.NodeID `json:"by"`
	Fence       uint64              `json:"fence"`
}

func entryKey(number int) string { return fmt.Sprintf("%s%010d", logPrefix, number) }

// ledger is a node's in-memory view of the billing log.
type ledger struct {
	store      tarragondeal.Store
	last       int              // The number of the newest entry; zero if there is none.
	entries    map[int]LogEntry // The entries still in the store, by number.
	windows    map[int64]int    // The number of the entry of each window.
	billed     map[string]int   // The number of the entry that bills each source generation.
	caughtUpTo int64            // The newest ended window when there was last nothing left to close.
}

func newLedger(store tarragondeal.Store) *ledger {
	return &ledger{
		store: store, entries: make(map[int]LogEntry),
		windows: make(map[int64]int), billed: make(map[string]int),
	}
}

// catchUp reads the entries that were appended since the last call.
func (l *ledger) catchUp(ctx context.Context) error {
	for {
		after := ""
		if l.last > 0 {
			after = entryKey(l.last)
		}
		page, err := l.store.List(ctx, logPrefix, after, logPageSize)
		if err != nil || len(page) == 0 {
			return err
		}
		for _, e := range page {
			var entry LogEntry
			if err := json.Unmarshal(e.Value, &entry); err != nil {
				return eris.Wrapf(err, "decode %s", e.Key)
			}
			if e.Key != entryKey(entry.Number) {
				return eris.Errorf("%s holds entry %d", e.Key, entry.Number)
			}
			l.apply(entry)
		}
	}
}

func (l *ledger) apply(e LogEntry) {
	l.last = max(l.last, e.Number)
	l.entries[e.Number] = e
	l.windows[e.Window] = e.Number
	for _, key := range e.Billed {
		l.billed[key] = e.Number
	}
}

// append writes the next entry. If another entry has the number already, append
// reads that one and returns an error that wraps a *tarragondeal.ConflictError.
func (l *ledger) append(ctx context.Context, e LogEntry) error {
	e.Number = l.last + 1
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err = l.store.Swap(ctx, entryKey(e.Number), value, 0); err == nil {
		l.apply(e)
		return nil
	}
	// The write may have been applied although its reply was lost, so the
	// entry in the store is what counts.
	return errors.Join(err, l.catchUp(ctx))
}

// source holds the generations of a source by number.
type source struct {
	id          tdusage.SourceID
	generations map[int]generation
}

// generation is a source generation as read from the store.
type generation struct {
	entry   tarragondeal.Entry
	content tdusage.Generation
}

// readSources reads all sources in the store.
func readSources(ctx context.Context, store tarragondeal.Store, page int) (map[tdusage.SourceID]*source, error) {
	out := make(map[tdusage.SourceID]*source)
	after := ""
	for {
		entries, err := store.List(ctx, tdusage.Prefix, after, page)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			return out, nil
		}
		for _, e := range entries {
			after = e.Key
			id, n, err := tdusage.ParseKey(e.Key)
			if err != nil {
				return nil, err
			}
			stored, err := tdusage.Decode(e.Value)
			if err != nil {
				return nil, eris.Wrapf(err, "%s", e.Key)
			}
			if out[id] == nil {
				out[id] = &source{id: id, generations: make(map[int]generation)}
			}
			out[id].generations[n] = generation{e, stored}
		}
	}
}

// unbilledGeneration is a source generation that is not billed yet.
type unbilledGeneration struct {
	id       tdusage.SourceID
	number   int
	current  generation
	previous tdusage.Lines // The lines of the generation before it, which is closed.
}

// unbilled returns the generations after the horizon that are not billed, sorted
// by window, source and number.
func (l *ledger) unbilled(sources map[tdusage.SourceID]*source, horizon int64) []unbilledGeneration {
	var out []unbilledGeneration
	for id, s := range sources {
		if id.Window <= horizon {
			continue
		}
		for n, g := range s.generations {
			if _, billed := l.billed[id.Key(n)]; billed {
				continue
			}
			out = append(out, unbilledGeneration{id: id, number: n, current: g, previous: s.generations[n-1].content.Lines})
		}
	}
	slices.SortFunc(out, func(a, b unbilledGeneration) int {
		return strings.Compare(a.id.Key(a.number), b.id.Key(b.number))
	})
	return out
}

// planNext chooses the next window to close, not after newest, and the generations
// that its entry bills: those of the window, and late ones of windows that are in
// the log already. It returns false if there is nothing to close. all is sorted by
// window.
func (l *ledger) planNext(all []unbilledGeneration, newest int64) (window int64, onTime, late []unbilledGeneration, ok bool) {
	for _, d := range all {
		_, logged := l.windows[d.id.Window]
		switch {
		case d.id.Window > newest:
		case logged:
			late = append(late, d)
		case !ok || d.id.Window == window:
			window, ok = d.id.Window, true
			onTime = append(onTime, d)
		}
	}
	if !ok && len(late) > 0 {
		// There is only late usage. It goes into the entry of the newest
		// ended window, or waits if that is in the log already.
		_, logged := l.windows[newest]
		window, ok = newest, !logged
	}
	onTime = onTime[:min(len(onTime), maxBilledGenerations)]
	late = late[:min(len(late), maxBilledGenerations-len(onTime))]
	return window, onTime, late, ok
}

// piece holds some of an entry's lines, sorted by workspace and route.
type piece struct {
	Lines []tarragondeal.UsageLine `json:"lines"`
}

// billedLines returns the lines that an entry bills and the number of lines that
// include late usage. No count is negative, since each generation starts from the
// counts of the one before it.
func billedLines(onTime, late []unbilledGeneration) (lines tdusage.Lines, corrections int) {
	lines, extra := make(tdusage.Lines), make(tdusage.Lines)
	for _, d := range onTime {
		lines.Plus(d.current.content.Lines.Minus(d.previous))
	}
	for _, d := range late {
		extra.Plus(d.current.content.Lines.Minus(d.previous))
	}
	lines.Plus(extra)
	return lines, len(extra)
}

// usageLines returns lines for a report, sorted by workspace and route.
func usageLines(l tdusage.Lines) []tarragondeal.UsageLine {
	out := make([]tarragondeal.UsageLine, 0, len(l))
	for k, f := range l {
		out = append(out, tarragondeal.UsageLine{
			Workspace: k.Workspace, Route: k.Route,
			Requests: f.Requests, InputTokens: f.InputTokens, OutputTokens: f.OutputTokens,
		})
	}
	slices.SortFunc(out, func(a, b tarragondeal.UsageLine) int {
		return strings.Compare(a.Workspace+"\x00"+a.Route, b.Workspace+"\x00"+b.Route)
	})
	return out
}

// writePieces stores lines in pieces, each under the SHA-256 digest of its
// encoding, and returns the digests.
func writePieces(ctx context.Context, store tarragondeal.Store, lines []tarragondeal.UsageLine) ([]string, error) {
	var out []string
	for part := range slices.Chunk(lines, maxPieceLines) {
		value, err := json.Marshal(piece{part})
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(value)
		digest := hex.EncodeToString(sum[:])
		_, err = store.Swap(ctx, piecePrefix+digest, value, 0)
		var conflict *tarragondeal.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return nil, err
		}
		out = append(out, digest)
	}
	return out, nil
}

// readPieces returns an entry's lines. It returns an error if a piece doesn't
// match its digest.
func readPieces(ctx context.Context, store tarragondeal.Store, e LogEntry) ([]tarragondeal.UsageLine, error) {
	var out []tarragondeal.UsageLine
	for _, digest := range e.Pieces {
		at, err := store.Get(ctx, piecePrefix+digest)
		if err != nil {
			return nil, err
		}
		if sum := sha256.Sum256(at.Value); hex.EncodeToString(sum[:]) != digest {
			return nil, eris.Errorf("piece %s is missing or damaged", digest)
		}
		var p piece
		if err := json.Unmarshal(at.Value, &p); err != nil {
			return nil, eris.Wrapf(err, "decode piece %s", digest)
		}
		out = append(out, p.Lines...)
	}
	return out, nil
}
