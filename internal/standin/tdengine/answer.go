package tdengine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragondeal/internal/platform/tdwire"
)

// respond answers a request. seenIndex is its index in e.seen.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, q request, seenIndex int) {
	f := e.nextFault()
	id := r.Header.Get(tdwire.HeaderRequest)
	if f == FaultWrongID {
		id = "another.1"
	}
	w.Header().Set(tdwire.HeaderRequest, id)
	w.Header().Set("X-Engine", e.opt.Name)
	if f == FaultHang {
		<-r.Context().Done()
		return
	}
	cached := e.cache.lookupAndStore(q.CacheSalt, q.prompt())
	input := len(q.prompt()) / bytesPerToken
	prefill := e.opt.Prefill + time.Duration(input-cached)*e.opt.PerInput
	if !e.work(r, prefill) {
		return
	}
	words := Words(q.prompt(), q.tokens())
	usage := &usage{PromptTokens: input, CompletionTokens: len(words), Details: details{CachedTokens: cached}}
	e.storeResumable(r.Header.Get(tdwire.HeaderRequest), q)
	if q.Stream {
		e.stream(w, r, q, seenIndex, words, usage, f)
		return
	}
	if !e.work(r, time.Duration(len(words))*e.opt.PerToken) {
		return
	}
	e.writeCompletion(w, r, q, seenIndex, strings.Join(words, ""), usage, f)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q request, seenIndex int, words []string, u *usage, f Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	for k, word := range words {
		if !e.work(r, e.opt.PerToken) {
			return
		}
		if f == FaultShort && k == len(words)/2 {
			return
		}
		if f == FaultCut && k == len(words)/2 {
			panic(http.ErrAbortHandler)
		}
		writeEvent(w, r, q, word, nil, nil)
		e.recordProgress(seenIndex, k+1, false)
	}
	stop := "stop"
	writeEvent(w, r, q, "", &stop, u)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	e.recordProgress(seenIndex, len(words), true)
}

// work simulates work of duration d, multiplied by the slowdown. It returns
// false if the caller cancelled the request, and aborts the handler if the
// engine crashes.
func (e *Engine) work(r *http.Request, d time.Duration) bool {
	crashed, factor := e.slowdown()
	d = time.Duration(float64(d) * factor)
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
	case <-crashed:
		panic(http.ErrAbortHandler)
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

type usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens int `json:"cached_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newCompletion(r *http.Request, q request, object string) completion {
	return completion{ID: r.Header.Get(tdwire.HeaderRequest), Object: object, Created: time.Now().Unix(), Model: q.Model}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, q request, seenIndex int, content string, u *usage, f Fault) {
	stop := "stop"
	c := newCompletion(r, q, "chat.completion")
	if q.Messages == nil {
		c.Object = "text_completion"
		c.Choices = []choice{{Text: content, FinishReason: &stop}}
	} else {
		c.Choices = []choice{{Message: &text{Role: "assistant", Content: content}, FinishReason: &stop}}
	}
	c.Usage = u
	b, _ := json.Marshal(c)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if f == FaultShort || f == FaultCut {
		_, _ = w.Write(b[:len(b)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(b)
	e.recordProgress(seenIndex, u.CompletionTokens, true)
}

func writeEvent(w http.ResponseWriter, r *http.Request, q request, word string, finish *string, u *usage) {
	c := newCompletion(r, q, "chat.completion.chunk")
	if q.Messages == nil {
		c.Object = "text_completion"
		c.Choices = []choice{{Text: word, FinishReason: finish}}
	} else {
		c.Choices = []choice{{Delta: &text{Content: word}, FinishReason: finish}}
	}
	c.Usage = u
	b, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// storeResumable stores a request so that its stream can be resumed.
func (e *Engine) storeResumable(id string, q request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumable[id] = q
}

type resumeCall struct {
	RequestID string `json:"requestId"`
	From      int    `json:"from"` // Number of tokens the caller already has.
}

// resume continues a broken stream after the tokens the caller has.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var in resumeCall
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	e.mu.Lock()
	q, ok := e.resumable[in.RequestID]
	e.mu.Unlock()
	if err != nil || !ok || in.From < 0 || in.From > q.tokens() {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	seenIndex := e.recordArrival(r, body)
	if !e.batch.acquire(r.Context(), q.Priority) {
		return
	}
	defer e.batch.release()
	e.recordStart(seenIndex)
	words := Words(q.prompt(), q.tokens())
	input := len(q.prompt()) / bytesPerToken
	w.Header().Set(tdwire.HeaderRequest, in.RequestID)
	u := &usage{PromptTokens: input, CompletionTokens: len(words)}
	e.stream(w, r, q, seenIndex, words[in.From:], u, FaultNone)
}
