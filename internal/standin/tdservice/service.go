// Package tdservice is a small stand-in for a plain service, such as one
// that takes bookings: it counts how often each id was executed.
//
// # Usage
//
//	s := tdservice.New(tdservice.Options{Name: "booking1"})
//	srv := httptest.NewServer(s.Handler())
//	n := s.Executions("id7")
package tdservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"tarragondeal/internal/platform/tdwire"
)

// maxBodyBytes bounds a request.
const maxBodyBytes = 1 << 20

// Options describe a service.
type Options struct {
	Name  string
	Slots int
	Work  time.Duration // How long one call takes.
}

// Service is the stand-in. Its methods are safe for concurrent use.
type Service struct {
	opt     Options
	mu      sync.Mutex
	runs    map[string]int
	running int
	seen    []http.Header
}

// New returns a service.
func New(o Options) *Service {
	return &Service{opt: o, runs: make(map[string]int)}
}

// Executions returns how often the id was executed.
func (s *Service) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Headers returns the headers of all requests so far.
func (s *Service) Headers() []http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]http.Header(nil), s.seen...)
}

// Handler serves every path as a call whose body is {"id": ...}.
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
	s.mu.Lock()
	s.running++
	s.runs[in.ID]++
	out := result{ID: in.ID, Executions: s.runs[in.ID], Server: s.opt.Name}
	s.seen = append(s.seen, r.Header.Clone())
	s.mu.Unlock()
	time.Sleep(s.opt.Work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(tdwire.HeaderRequest, r.Header.Get(tdwire.HeaderRequest))
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := tdwire.Load{Running: s.running, Slots: s.opt.Slots}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}
