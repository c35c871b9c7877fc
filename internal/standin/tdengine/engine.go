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

// maxBodyBytes bounds a request.
const maxBodyBytes = 16 << 20

// defaultTokens is the length of an answer when the caller sets none.
const defaultTokens = 16

// bytesPerToken turns the length of a prompt into tokens.
const bytesPerToken = 4

// Options describe an engine.
type Options struct {
	Name     string
	Slots    int
	Prefill  time.Duration // Time to the first token with an empty prompt.
	PerInput time.Duration // Further time for each token that is not cached.
	PerToken time.Duration // Time between tokens.
	// LoadLag is how old a load report can be.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with an old fencing token.
	ChecksFence bool
	// CrashMarker crashes the engine when it stands in a request's body.
	CrashMarker string
	// CacheBlocks is how many blocks of prompts are cached.
	CacheBlocks int
	// EventLag delays cache events, and every EventGap-th event is lost.
	EventLag time.Duration
	EventGap int
	// OnCrash is called, in a goroutine of its own, when the engine crashes.
	OnCrash func()
}

// Engine is the stand-in. Its methods are safe for concurrent use.
type Engine struct {
	opt    Options
	batch  *batch
	cache  *cache
	mu     sync.Mutex
	seen   []Seen
	faults faults
	orders orders
	report tdwire.Load // The last load report.
	taken  time.Time   // When it was taken.
	kept   map[string]request
}

// Seen is a request that reached the engine.
type Seen struct {
	At      time.Time
	Started time.Time // When it got a slot; zero if it never did.
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
		opt:    o,
		batch:  newBatch(o.Slots),
		cache:  newCache(o.CacheBlocks, o.EventLag, o.EventGap),
		faults: newFaults(),
		kept:   make(map[string]request),
	}
}

// Handler serves the engine's interfaces.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST "+tdwire.PathResume, e.resume)
	mux.HandleFunc("GET "+tdwire.PathLoad, e.load)
	mux.HandleFunc("POST "+tdwire.PathEngine, e.order)
	mux.HandleFunc("GET "+tdwire.PathEvents, e.events)
	mux.HandleFunc("POST "+tdwire.PathExport, e.export)
	mux.HandleFunc("POST "+tdwire.PathImport, e.imports)
	return mux
}

// Seen returns the requests that reached the engine so far.
func (e *Engine) Seen() []Seen {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Seen(nil), e.seen...)
}

// Words returns the answer that an engine gives to a request's messages or
// prompt, as raw JSON, one word a token.
func Words(prompt []byte, n int) []string {
	h := xxhash.Sum64(prompt)
	out := make([]string, n)
	for k := range out {
		out[k] = fmt.Sprintf("w%x ", (h+uint64(k)*0x9e3779b97f4a7c15)>>40)
	}
	return out
}

// request is what an engine reads of a request's body.
type request struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
	CacheSalt string          `json:"cache_salt"`
	// Natural is where the answer would end by itself, before MaxTokens.
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
	n := e.arrive(r, body)
	if !e.batch.enter(r.Context(), q.Priority) {
		return
	}
	defer e.batch.leave()
	e.started(n)
	if e.crashes(body) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	e.answer(w, r, q, n)
}

func (e *Engine) arrive(r *http.Request, body []byte) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, Seen{
		At: time.Now(), ID: r.Header.Get(tdwire.HeaderRequest),
		Header: r.Header.Clone(), Path: r.URL.String(), Body: body,
	})
	return len(e.seen) - 1
}

func (e *Engine) started(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[n].Started = time.Now()
}

func (e *Engine) progress(n, tokens int, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[n].Tokens = tokens
	e.seen[n].Done = done
}

// load answers with a report that can be as old as the lag.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	running, queued := e.batch.counts()
	e.mu.Lock()
	if e.taken.IsZero() || now.Sub(e.taken) >= e.opt.LoadLag {
		e.taken = now
		e.report = tdwire.Load{Running: running, Queued: queued, Slots: e.opt.Slots, Models: e.orders.models()}
	}
	l := e.report
	l.Age = now.Sub(e.taken)
	l.Leaving = e.faults.leaving
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
