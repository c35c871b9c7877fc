package tdengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal/internal/platform/tdwire"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

// defaultTokens is the length of an answer if the request sets no limit.
const defaultTokens = 16

// bytesPerToken is the assumed length of a prompt token.
const bytesPerToken = 4

// Options describe an engine.
type Options struct {
	Name     string
	Slots    int
	Prefill  time.Duration // Time to the first token of an empty prompt.
	PerInput time.Duration // Added prefill time for each uncached input token.
	PerToken time.Duration // Time between tokens.
	// LoadLag is the maximum age of a load report.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing token.
	ChecksFence bool
	// CrashMarker makes the engine crash at a request whose body contains the
	// marker. Empty means never.
	CrashMarker string
	// CacheBlocks is the capacity of the prompt cache. Zero disables it.
	CacheBlocks int
	// EventLag delays cache events. Every DropEventEvery-th event is lost; zero
	// loses none.
	EventLag       time.Duration
	DropEventEvery int
	// OnCrash is called in its own goroutine when the engine crashes.
	OnCrash func()
}

// Engine is a fake model engine. Its methods are safe for concurrent use.
type Engine struct {
	opt        Options
	batch      *batch
	cache      *cache
	mu         sync.Mutex
	seen       []Seen
	faults     faults
	orders     orders
	report     tdwire.Load // The last load report.
	reportedAt time.Time   // When it was taken.
	resumable  map[string]request
}

// Seen records a request that reached the engine.
type Seen struct {
	At      time.Time
	Started time.Time // When it got a slot; zero before that.
	ID      string
	Header  http.Header
	Path    string
	Body    []byte
	Tokens  int // Tokens written so far.
	Done    bool
}

// New returns an engine.
func New(o Options) *Engine {
	if o.Slots <= 0 {
		o.Slots = 1
	}
	return &Engine{
		opt:       o,
		batch:     newBatch(o.Slots),
		cache:     newCache(o.CacheBlocks, o.EventLag, o.DropEventEvery),
		faults:    newFaults(),
		resumable: make(map[string]request),
	}
}

// Handler returns a handler for the engine's endpoints.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST "+tdwire.PathResume, e.resume)
	mux.HandleFunc("GET "+tdwire.PathLoad, e.load)
	mux.HandleFunc("POST "+tdwire.PathEngine, e.order)
	mux.HandleFunc("GET "+tdwire.PathEvents, e.events)
	mux.HandleFunc("POST "+tdwire.PathExport, e.exportBlocks)
	mux.HandleFunc("POST "+tdwire.PathImport, e.importBlocks)
	return mux
}

// Seen returns the requests received so far.
func (e *Engine) Seen() []Seen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Seen(nil), e.seen...)
}

// Words returns the first n tokens of the answer to a request whose messages or
// prompt are the given raw JSON, one word per token.
func Words(prompt []byte, n int) []string {
	h := xxhash.Sum64(prompt)
	out := make([]string, n)
	for k := range out {
		out[k] = fmt.Sprintf("w%x ", (h+uint64(k)*0x9e3779b97f4a7c15)>>40)
	}
	return out
}

// request holds the fields of a request's body that the engine uses.
type request struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
	CacheSalt string          `json:"cache_salt"`
	// Natural is the length of the answer in tokens if MaxTokens does not cut
	// it. Zero means no natural end.
	Natural int `json:"x_natural_tokens"`
}

func (q request) prompt() []byte {
	if len(q.Messages) > 0 {
		return q.Messages
	}
	return q.Prompt
}

func (q request) tokens() int {
	n := q.MaxTokens
	if n <= 0 {
		n = defaultTokens
	}
	if q.Natural > 0 {
		n = min(n, q.Natural)
	}
	return n
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var q request
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n := e.recordArrival(r, body)
	if !e.batch.acquire(r.Context(), q.Priority) {
		return
	}
	defer e.batch.release()
	e.recordStart(n)
	if e.crashes(body) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	e.respond(w, r, q, n)
}

func (e *Engine) recordArrival(r *http.Request, body []byte) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, Seen{
		At: time.Now(), ID: r.Header.Get(tdwire.HeaderRequest),
		Header: r.Header.Clone(), Path: r.URL.String(), Body: body,
	})
	return len(e.seen) - 1
}

func (e *Engine) recordStart(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[n].Started = time.Now()
}

func (e *Engine) recordProgress(n, tokens int, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[n].Tokens = tokens
	e.seen[n].Done = done
}

// load returns a load report that is at most LoadLag old.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	running, queued := e.batch.counts()
	e.mu.Lock()
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= e.opt.LoadLag {
		e.reportedAt = now
		e.report = tdwire.Load{Running: running, Queued: queued, Slots: e.opt.Slots, Models: e.orders.models()}
	}
	l := e.report
	l.Age = now.Sub(e.reportedAt)
	l.Leaving = e.faults.leaving
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
