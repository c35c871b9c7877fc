package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeatMs of the settings.
	heartbeat = 1200 * time.Millisecond
	// backAfter is how long a server that crashed is away.
	backAfter = 3 * time.Second
)

// engine is a backend server that can crash and come back as another run.
type engine struct {
	f       *fleet
	name    string
	service string
	zone    string
	slots   int
	addr    string
	answer  func(e *engine, w http.ResponseWriter, r *http.Request)

	mu    sync.Mutex
	run   int
	id    string
	born  int64
	seq   int
	ln    net.Listener
	conns map[net.Conn]bool
}

func (f *fleet) addEngine(name, service, zone string, slots int, answer func(*engine, http.ResponseWriter, *http.Request)) (*engine, error) {
	e := &engine{f: f, name: name, service: service, zone: zone, slots: slots, answer: answer, conns: make(map[net.Conn]bool)}
	if err := e.start(); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	return e, nil
}

// start begins a run with a new id.
func (e *engine) start() error {
	at := e.addr
	if at == "" {
		at = platformIP + ":0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.run++
	e.id, e.born, e.seq, e.ln, e.addr = fmt.Sprintf("i-%s-%d", e.name, e.run), time.Now().UnixMilli(), 0, ln, ln.Addr().String()
	id := e.id
	e.mu.Unlock()
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.handle(id, w, r) }),
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			switch s {
			case http.StateNew:
				e.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(e.conns, c)
			}
		},
	}
	go func() { _ = srv.Serve(ln) }()
	e.f.note("server %s starts at %s", id, e.addr)
	e.beat()
	return nil
}

// beat writes the entry of the run, unless the server is down.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ln == nil {
		return
	}
	e.seq++
	e.f.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots,
		"state": "ready", "coldLeftMs": 0, "seq": e.seq, "born": e.born,
	})
}

// crash ends a run: all its connections break, and nothing is said. Its entry goes after three
// heartbeats, and another run begins after backAfter. It reports whether the run was up.
func (e *engine) crash(id string) bool {
	e.mu.Lock()
	if e.ln == nil || e.id != id {
		e.mu.Unlock()
		return false
	}
	ln, conns := e.ln, e.conns
	e.ln, e.conns = nil, make(map[net.Conn]bool)
	e.mu.Unlock()
	_ = ln.Close()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.f.note("server %s crashes, %d connections break", id, len(conns))
	time.AfterFunc(3*heartbeat, func() { e.f.store.drop("servers/" + id) })
	time.AfterFunc(backAfter, func() {
		if err := e.start(); err != nil {
			e.f.note("server %s can't start again: %v", e.name, err)
		}
	})
	return true
}

// isUp reports whether a run has not ended.
func (e *engine) isUp(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ln != nil && e.id == id
}

func (e *engine) handle(id string, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Server-Stamp", "st."+id)
	e.answer(e, w, r)
}
