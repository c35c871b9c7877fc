package tdhost

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// repeatingServer refuses the first request on each connection and runs later ones, but
// begins each answer with the refusal, written once more.
type repeatingServer struct {
	named string // The id that refusals name; empty for that of the refused request.
	body  string // Of the refusal.

	mu       sync.Mutex
	ran      int
	accepted int
}

func (s *repeatingServer) start(t *testing.T) netip.AddrPort { return acceptEach(t, s.serve) }

func (s *repeatingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	s.mu.Lock()
	s.accepted++
	s.mu.Unlock()
	in := bufio.NewReader(c)
	refusal := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if refusal != "" {
			s.mu.Lock()
			s.ran++
			s.mu.Unlock()
			_, _ = io.WriteString(c, refusal)
			continue
		}
		id := r.Header.Get("X-Request-Id")
		if s.named != "" {
			id = s.named
		}
		if id != "" {
			id = "X-Request-Id: " + id + "\r\n"
		}
		refusal = fmt.Sprintf("HTTP/1.1 503 Full\r\n%sX-Not-Run: 1\r\nContent-Length: %d\r\n\r\n%s", id, len(s.body), s.body)
		_, _ = io.WriteString(c, refusal)
	}
}

// taken returns how many requests the server ran, and on how many connections.
func (s *repeatingServer) taken() (ran, accepted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran, s.accepted
}

// TestRefusalRepeatedOnKeptConnection guards against a request that is reported as not run
// although its server runs it: the server wrote an earlier refusal once more on the
// connection.
func TestRefusalRepeatedOnKeptConnection(t *testing.T) {
	for _, c := range []struct{ name, first, second, named string }{
		{"another id", "q1", "q2", ""},
		{"the same id", "q1", "q1", ""},
		{"no ids", "", "", ""},
		{"no ids, the refusal names one", "", "", "q1"},
		{"no id after one with an id", "q1", "", ""},
		{"an id after one without", "", "q2", ""},
	} {
		for _, path := range []string{"/plain/1", "/resume/1", "/stream/1", "/once/1"} {
			for _, body := range []string{"", "full"} {
				s := &repeatingServer{named: c.named, body: body}
				addr := s.start(t)
				e := newEntry(t)
				for n, id := range []string{c.first, c.second} {
					e.reset([]netip.AddrPort{addr})
					before, _ := s.taken()
					got := e.send(t, path, "X-Request-Id", id)
					ran, _ := s.taken()
					if got.status == http.StatusServiceUnavailable && ran > before {
						t.Errorf("%s, %s, body %q, request %d: status %d, and its server ran it", c.name, path, body, n+1, got.status)
					}
					if ran == before && c.named == "" && got.status != http.StatusServiceUnavailable {
						t.Errorf("%s, %s, body %q, request %d: status %d, and no server ran it", c.name, path, body, n+1, got.status)
					}
					time.Sleep(5 * time.Millisecond) // The connection is kept.
				}
			}
		}
	}
}

// TestRefusalKeepsItsConnection guards against a new connection for each request to a server
// at capacity.
func TestRefusalKeepsItsConnection(t *testing.T) {
	const requests = 20
	s := &repeatingServer{}
	addr := s.start(t)
	e := newEntry(t)
	for n := range requests {
		e.reset([]netip.AddrPort{addr})
		_ = e.send(t, "/plain/1", "X-Request-Id", fmt.Sprint("r", n))
		time.Sleep(time.Millisecond)
	}
	if _, accepted := s.taken(); accepted > requests/2+1 {
		t.Errorf("%d connections for %d requests", accepted, requests)
	}
}
