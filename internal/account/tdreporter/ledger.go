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

// Where the bill stands in the store.
const (
	logPrefix   = "usage/log/"
	piecePrefix = "usage/piece/"
	sentKey     = "usage/sent"
)

const (
	logPage    = 32
	pieceLines = 4000
	// maxBilled bounds the source generations of one entry, so that the
	// entry stays under the largest value of the store.
	maxBilled = 6000
)

// Closing is one line of the log: a window that was closed.
type Closing struct {
	Number int                   `json:"number"`
	Window int64                 `json:"window"` // Its start, in seconds since 1970 UTC.
	Length tarragondeal.Duration `json:"length"`
	Pieces []string              `json:"pieces"` // Digests of the pieces.
	// Corrections counts the lines that were raised by late usage of
	// earlier windows.
	Corrections int                 `json:"corrections"`
	Billed      []string            `json:"billed"` // Keys of source generations.
	By          tarragondeal.NodeID `json:"by"`
	Fence       uint64              `json:"fence"`
}

func entryKey(number int) string { return fmt.Sprintf("%s%010d", logPrefix, number) }

// ledger is what a node knows of the log.
type ledger struct {
	store   tarragondeal.Store
	last    int             // The newest entry's number; zero for none.
	entries map[int]Closing // Those that are kept.
	windows map[int64]int   // The entry of each window.
	billed  map[string]int
	looked  int64 // The newest ended window when nothing was left to close.
}

func newLedger(store tarragondeal.Store) *ledger {
	return &ledger{
		store: store, entries: make(map[int]Closing),
		windows: make(map[int64]int), billed: make(map[string]int),
	}
}

// follow reads the entries that came since.
func (l *ledger) follow(ctx context.Context) error {
	for {
		after := ""
		if l.last > 0 {
			after = entryKey(l.last)
		}
		page, err := l.store.List(ctx, logPrefix, after, logPage)
		if err != nil || len(page) == 0 {
			return err
		}
		for _, e := range page {
			var entry Closing
			if err := json.Unmarshal(e.Value, &entry); err != nil {
				return eris.Wrapf(err, "%s can't be read", e.Key)
			}
			if e.Key != entryKey(entry.Number) {
				return eris.Errorf("%s holds entry %d", e.Key, entry.Number)
			}
			l.take(entry)
		}
	}
}

func (l *ledger) take(e Closing) {
	l.last = max(l.last, e.Number)
	l.entries[e.Number] = e
	l.windows[e.Window] = e.Number
	for _, key := range e.Billed {
		l.billed[key] = e.Number
	}
}

// append writes the next entry. When another one took its place, that one is
// read instead and the error is a *tarragondeal.ConflictError.
func (l *ledger) append(ctx context.Context, e Closing) error {
	e.Number = l.last + 1
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err = l.store.Swap(ctx, entryKey(e.Number), value, 0); err == nil {
		l.take(e)
		return nil
	}
	// The answer may be lost: whatever stands there counts.
	return errors.Join(err, l.follow(ctx))
}

// source is the chain of a source's generations.
type source struct {
	id          tdusage.SourceID
	generations map[int]generation
}

type generation struct {
	entry  tarragondeal.Entry
	stored tdusage.Generation
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

// due is a source generation that is not billed yet.
type due struct {
	id         tdusage.SourceID
	generation int
	now        generation
	before     tdusage.Lines // The generation before it, which is closed.
}

// due returns what is not billed, oldest window first.
func (l *ledger) due(sources map[tdusage.SourceID]*source, horizon int64) []due {
	var out []due
	for id, s := range sources {
		if id.Window <= horizon {
			continue
		}
		for n, g := range s.generations {
			if _, billed := l.billed[id.Key(n)]; billed {
				continue
			}
			out = append(out, due{id: id, generation: n, now: g, before: s.generations[n-1].stored.Lines})
		}
	}
	slices.SortFunc(out, func(a, b due) int {
		return strings.Compare(a.id.Key(a.generation), b.id.Key(b.generation))
	})
	return out
}

// plan chooses the next window to close, up to the newest that has ended, and
// what it bills. Usage of windows that are in the log is late and goes along.
func (l *ledger) plan(all []due, newest int64) (window int64, own, late []due, ok bool) {
	for _, d := range all {
		_, logged := l.windows[d.id.Window]
		switch {
		case d.id.Window > newest:
		case logged:
			late = append(late, d)
		case !ok || d.id.Window == window:
			window, ok = d.id.Window, true
			own = append(own, d)
		}
	}
	if !ok && len(late) > 0 {
		// Late usage alone waits for a window that is not in the log.
		_, logged := l.windows[newest]
		window, ok = newest, !logged
	}
	own = own[:min(len(own), maxBilled)]
	late = late[:min(len(late), maxBilled-len(own))]
	return window, own, late, ok
}

// piece is some of an entry's lines, in the order of their names.
type piece struct {
	Lines []tarragondeal.UsageLine `json:"lines"`
}

// figures returns what an entry bills. No figure is below zero, since a
// generation goes on from the one before it.
func figures(own, late []due) (lines tdusage.Lines, corrections int) {
	lines, extra := make(tdusage.Lines), make(tdusage.Lines)
	for _, d := range own {
		lines.Plus(d.now.stored.Lines.Minus(d.before))
	}
	for _, d := range late {
		extra.Plus(d.now.stored.Lines.Minus(d.before))
	}
	lines.Plus(extra)
	return lines, len(extra)
}

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

// writePieces stores lines under the digests of what they hold.
func writePieces(ctx context.Context, store tarragondeal.Store, lines []tarragondeal.UsageLine) ([]string, error) {
	var out []string
	for part := range slices.Chunk(lines, pieceLines) {
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

// readPieces returns an entry's lines.
func readPieces(ctx context.Context, store tarragondeal.Store, e Closing) ([]tarragondeal.UsageLine, error) {
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
			return nil, eris.Wrapf(err, "piece %s can't be read", digest)
		}
		out = append(out, p.Lines...)
	}
	return out, nil
}
