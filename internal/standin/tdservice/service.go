// Package tdservice is a fake of a plain backend service, such as one that
// takes bookings. It counts how often each id was executed.
//
// # Usage
//
//	s := tdservice.New(tdservice.Options{Name: "booking1"})
//	srv := httptest.NewServer(s.Handler())
//	n := s.Executions("id7")
package tdservice

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"tarragondeal/internal/platform/tdwire"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 1 << 20

// Options describe a service.
type Options struct {
	Name  string
	Slots int
	Work  time.Duration // Duration of one call.
	// CrashMarker makes the service crash after it executed a call whose body
	// contains the marker. Empty means never.
	CrashMarker string
	// OnCrash is called in its own goroutine when the service crashes.
	OnCrash func()
}

// Service is a fake backend service. Its methods are safe for concurrent use.
type Service struct {
	opt        Options
	mu         sync.Mutex
	executions map[string]int
	running    int
	leaving    bool
	cutNext    int // Number of next calls whose connection breaks after execution.
	seen       []Seen
}

// Seen records an executed call.
type Seen struct {
	At     time.Time
	ID     string // The id in the call's body.
	Header http.Header
	URL    string
}

// New returns a service.
func New(o Options) *Service {
	return &Service{opt: o, executions: make(map[string]int)}
}

// Executions returns how often the id was executed.
func (s *Service) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// AllExecutions returns how often each id was executed.
func (s *Service) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Seen returns the calls executed so far.
func (s *Service) Seen() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

// SetLeaving sets whether the load report says that the service is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// CutAnswers breaks the connections of the next n calls after their execution.
func (s *Service) CutAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutNext = n
}

// Handler returns a handler that treats a request to any path but the load
// report's as a call with the body {"id": ...}.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+tdwire.PathLoad, s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

type result struct {
	ID         string `json:"id"`
	Executions int    `json:"executions"`
	Server     string `json:"server"`
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID string `json:"id"`
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, cut := s.execute(r, in.ID)
	time.Sleep(s.opt.Work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if s.opt.CrashMarker != "" && bytes.Contains(body, []byte(s.opt.CrashMarker)) {
		if s.opt.OnCrash != nil {
			go s.opt.OnCrash()
		}
		cut = true
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(tdwire.HeaderRequest, r.Header.Get(tdwire.HeaderRequest))
	writeJSON(w, out)
}

func (s *Service) execute(r *http.Request, id string) (out result, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.executions[id]++
	s.seen = append(s.seen, Seen{At: time.Now(), ID: id, Header: r.Header.Clone(), URL: r.URL.String()})
	if s.cutNext > 0 {
		s.cutNext--
		cut = true
	}
	return result{ID: id, Executions: s.executions[id], Server: s.opt.Name}, cut
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := tdwire.Load{Running: s.running, Slots: s.opt.Slots, Leaving: s.leaving}
	s.mu.Unlock()
	writeJSON(w, l)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
