// Package tdengine is a small stand-in for a model engine: it streams
// OpenAI-compatible answers, runs a bounded number of requests at once, and
// reports its load with a lag.
//
// # Usage
//
//	e := tdengine.New(tdengine.Options{Name: "engine1", Slots: 4})
//	srv := httptest.NewServer(e.Handler())
//
// The answer to a prompt is a function of the prompt, so that a test can
// tell whether an answer is whole and whose it is: see Words.
package tdengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal/internal/platform/tdwire"
)

// maxBodyBytes bounds a request.
const maxBodyBytes = 16 << 20

// defaultTokens is the length of an answer when the caller sets none.
const defaultTokens = 16

// Options describe an engine.
type Options struct {
	Name        string
	Slots       int
	Prefill     time.Duration // Time to the first token on an idle engine.
	PerToken    time.Duration
	ChecksFence bool
}

// Engine is the stand-in. Its methods are safe for concurrent use.
type Engine struct {
	opt    Options
	slots  chan struct{}
	mu     sync.Mutex
	queued int
	seen   []Seen
}

// Seen is a request that reached the engine.
type Seen struct {
	At     time.Time
	ID     string
	Header http.Header
	Path   string
	Body   []byte
	Tokens int // Tokens sent so far.
	Done   bool
}

// New returns an engine.
func New(o Options) *Engine {
	if o.Slots <= 0 {
		o.Slots = 1
	}
	return &Engine{opt: o, slots: make(chan struct{}, o.Slots)}
}

// Handler serves the engine's interfaces.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET "+tdwire.PathLoad, e.load)
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

type request struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (q request) prompt() []byte {
	if len(q.Messages) > 0 {
		return q.Messages
	}
	return q.Prompt
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
	if !e.enter(r) {
		return
	}
	defer func() { <-e.slots }()
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

func (e *Engine) enter(r *http.Request) bool {
	e.mu.Lock()
	e.queued++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.queued--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, q request, n int) {
	tokens := q.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	words := Words(q.prompt(), tokens)
	w.Header().Set(tdwire.HeaderRequest, r.Header.Get(tdwire.HeaderRequest))
	w.Header().Set("X-Engine", e.opt.Name)
	if !pause(r, e.opt.Prefill) {
		return
	}
	usage := map[string]int{"prompt_tokens": len(q.prompt()) / 4, "completion_tokens": tokens}
	if !q.Stream {
		if !pause(r, time.Duration(tokens)*e.opt.PerToken) {
			return
		}
		e.progress(n, tokens, true)
		writeWhole(w, r, q, strings.Join(words, ""), usage)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for k, word := range words {
		if !pause(r, e.opt.PerToken) {
			return
		}
		writeEvent(w, r, q, word, nil, nil)
		e.progress(n, k+1, false)
	}
	stop := "stop"
	writeEvent(w, r, q, "", &stop, usage)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.progress(n, tokens, true)
}

func (e *Engine) progress(n, tokens int, done bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[n].Tokens = tokens
	e.seen[n].Done = done
}

func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *text   `json:"delta,omitempty"`
	Message      *text   `json:"message,omitempty"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []choice       `json:"choices"`
	Usage   map[string]int `json:"usage,omitempty"`
}

func head(r *http.Request, q request, object string) completion {
	return completion{ID: r.Header.Get(tdwire.HeaderRequest), Object: object, Created: time.Now().Unix(), Model: q.Model}
}

func writeWhole(w http.ResponseWriter, r *http.Request, q request, content string, usage map[string]int) {
	stop := "stop"
	c := head(r, q, "chat.completion")
	if q.Messages == nil {
		c.Object = "text_completion"
		c.Choices = []choice{{Text: content, FinishReason: &stop}}
	} else {
		c.Choices = []choice{{Message: &text{Role: "assistant", Content: content}, FinishReason: &stop}}
	}
	c.Usage = usage
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(c)
}

func writeEvent(w http.ResponseWriter, r *http.Request, q request, word string, finish *string, usage map[string]int) {
	c := head(r, q, "chat.completion.chunk")
	if q.Messages == nil {
		c.Object = "text_completion"
		c.Choices = []choice{{Text: word, FinishReason: finish}}
	} else {
		c.Choices = []choice{{Delta: &text{Content: word}, FinishReason: finish}}
	}
	c.Usage = usage
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := tdwire.Load{Running: len(e.slots), Queued: e.queued, Slots: e.opt.Slots}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}
