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
	"bytes"
	"encoding/json"
	"io"
	"maps"
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
	// CrashMarker crashes the service, after it executed the call, when it
	// stands in the body.
	CrashMarker string
	// OnCrash is called, in a goroutine of its own, when it crashes.
	OnCrash func()
}

// Service is the stand-in. Its methods are safe for concurrent use.
type Service struct {
	opt     Options
	mu      sync.Mutex
	runs    map[string]int
	running int
	leaving bool
	cut     int // Answers still to be cut after they were executed.
	seen    []Seen
}

// Seen is a call that was executed.
type Seen struct {
	At     time.Time
	ID     string // The id in the call's body.
	Header http.Header
	URL    string
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

// AllExecutions returns how often each id was executed.
func (s *Service) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Seen returns the calls that were executed so far.
func (s *Service) Seen() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

// Leave makes the service say in its load report that it is leaving.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// CutAnswers breaks the connection of the next n calls after they ran.
func (s *Service) CutAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = n
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
	s.runs[id]++
	s.seen = append(s.seen, Seen{At: time.Now(), ID: id, Header: r.Header.Clone(), URL: r.URL.String()})
	if s.cut > 0 {
		s.cut--
		cut = true
	}
	return result{ID: id, Executions: s.runs[id], Server: s.opt.Name}, cut
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
