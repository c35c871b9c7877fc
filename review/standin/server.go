package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// slots is how many requests a plain server runs at once, and maxQueue how many wait.
const (
	slots    = 6
	maxQueue = 24
)

// heartbeat is how often a server writes its entry. After silentBeats of them the entry is
// removed.
const (
	heartbeat   = 1200 * time.Millisecond
	silentBeats = 3
)

// arrival is one request that a server was sent.
type arrival struct {
	at     time.Time
	id     string
	path   string
	server string
	ran    bool
}

// pool is the servers of one service.
type pool struct {
	rec     *recorder
	store   *store
	service string

	mu       sync.Mutex
	arrivals []arrival
	// onRun is called when a server begins to run a request. If it returns true, the server
	// crashes.
	onRun func(s *server, r *http.Request) bool
	// failure returns the status with which a server fails a request that it has run, or 0.
	failure func(r *http.Request) int
}

func (p *pool) add(a arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, a)
}

func (p *pool) all() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}

// server is a plain server at one address. Each start of it is another incarnation, with
// another id.
type server struct {
	pool  *pool
	name  string
	addr  string
	down  time.Duration // How long it is away after a crash.
	quiet bool          // Its connections go silent at a crash, and are not reset at once.

	mu    sync.Mutex
	start int
	id    string
	born  int64
	seq   int
	up    bool
	state string // Of its entry.
	conns map[net.Conn]bool
	stop  context.CancelFunc
	busy  chan struct{}
	queue int
}

func newServer(p *pool, name string) (*server, error) {
	port, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	s := &server{pool: p, name: name, addr: fmt.Sprintf("127.0.0.1:%d", port)}
	return s, s.begin()
}

// begin starts an incarnation.
func (s *server) begin() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr = ln.Addr().String()
	s.start++
	s.id, s.born, s.seq, s.up, s.state = fmt.Sprintf("i-%s-%d", s.name, s.start), time.Now().UnixMilli(), 0, true, "ready"
	s.conns, s.busy, s.queue = map[net.Conn]bool{}, make(chan struct{}, slots), 0
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	id := s.id
	s.mu.Unlock()
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(ctx, id, w, r) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.id != id {
				return
			}
			switch state {
			case http.StateNew:
				s.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(s.conns, c)
			}
		},
	}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	s.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				s.beat()
			case <-ctx.Done():
				return
			}
		}
	}()
	s.pool.rec.add("server %s starts at %s", id, s.addr)
	return nil
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.seq++
	s.pool.store.put("servers/"+s.id, map[string]any{
		"service": s.pool.service, "addr": s.addr, "zone": "sone-bergen", "version": "v1", "slots": slots, "state": s.state,
		"coldLeftMs": 0, "born": s.born, "seq": s.seq,
	})
}

// leave makes the server say that it is draining. It goes on serving. It returns when the
// store has accepted that.
func (s *server) leave() {
	s.mu.Lock()
	s.state = "draining"
	id := s.id
	s.mu.Unlock()
	s.beat()
	s.pool.rec.add("the store acknowledges that %s is draining", id)
}

// crash ends an incarnation. The server is back after s.down.
func (s *server) crash(id string) {
	s.mu.Lock()
	if s.id != id || !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.stop()
	conns := s.conns
	s.mu.Unlock()
	s.pool.rec.add("server %s crashes", id)
	reset := func() {
		for c := range conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	if !s.quiet {
		reset()
	}
	time.AfterFunc(silentBeats*heartbeat, func() { s.pool.store.remove("servers/" + id) })
	time.AfterFunc(s.down, func() {
		reset()
		if err := s.begin(); err != nil {
			s.pool.rec.add("server %s can't start: %v", s.name, err)
		}
	})
}

func (s *server) serve(ctx context.Context, id string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if ctx.Err() != nil { // The incarnation has ended; nothing of it answers.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	a := arrival{at: time.Now(), id: r.Header.Get("X-Request-Id"), path: r.URL.Path, server: id}
	w.Header().Set("X-Request-Id", a.id)
	w.Header().Set("X-Instance-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		s.pool.add(a)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.take(ctx, r) {
		s.pool.add(a)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.free()
	a.ran = true
	s.pool.add(a)
	s.pool.rec.add("server %s runs %s %s %s, %d bytes", id, a.id, r.Method, a.path, len(body))
	if s.pool.onRun != nil && s.pool.onRun(s, r) {
		s.crash(id)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(15 * time.Millisecond)
	if ctx.Err() != nil {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Stamp", "stamp."+id+"."+a.id)
	if s.pool.failure != nil {
		if status := s.pool.failure(r); status != 0 {
			s.pool.rec.add("server %s has run %s and fails it with %d", id, a.id, status)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "failed")
			return
		}
	}
	_, _ = io.WriteString(w, "done "+strings.Repeat("x", 800))
}

// take waits for a slot. It returns false if too many requests wait.
func (s *server) take(ctx context.Context, r *http.Request) bool {
	select {
	case s.busy <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.queue >= maxQueue {
		s.mu.Unlock()
		return false
	}
	s.queue++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.queue--
		s.mu.Unlock()
	}()
	select {
	case s.busy <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (s *server) free() { <-s.busy }
