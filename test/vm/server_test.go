package vm_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// arrival is a request as a stand-in backend server got it.
type arrival struct {
	at     time.Time
	target string
	body   string
	header http.Header
	// turnedAway says that the server told not to have run it.
	turnedAway bool
}

// server is a stand-in for a backend server.
type server struct {
	id  string
	srv *httptest.Server

	mu       sync.Mutex
	arrivals []arrival
	work     time.Duration
	events   int
	breakAt  int // The connection breaks after so many events; zero never.
	turnAway bool
}

func newServer(id string) *server {
	s := &server{id: id, events: 5}
	s.srv = httptest.NewServer(s)
	return s
}

// entry is what the server writes of itself to the store.
func (s *server) entry(pool, state string) map[string]any {
	return map[string]any{
		"service": pool, "addr": strings.TrimPrefix(s.srv.URL, "http://"), "zone": "duluth", "version": "v1",
		"slots": 8, "state": state, "coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

func (s *server) seen() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *server) set(change func(*server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{
		at: time.Now(), target: r.RequestURI, body: string(body), header: r.Header.Clone(),
		turnedAway: s.turnAway || r.Header.Get("X-Expect-Instance") != s.id,
	})
	work, events, breakAt, turnAway := s.work, s.events, s.breakAt, s.turnAway
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch {
	case r.Header.Get("X-Expect-Instance") != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case turnAway:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp-"+s.id)
	if !strings.HasPrefix(r.URL.Path, "/chat/") {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done by "+s.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	if r.Header.Get("Last-Event-Id") != "" {
		first++
	}
	for n := first; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush()
		if n == breakAt {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(work)
	}
}
