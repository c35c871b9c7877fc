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
	// backAfter is how long a server that crashed is away, and darkFor one that went dark.
	backAfter = 3 * time.Second
	darkFor   = 4200 * time.Millisecond
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
	ended chan struct{} // Closed when the connections of the run break.
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
	e.ended = make(chan struct{})
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

// crash ends a run: its port is closed, and it says nothing more. Its connections break at once, or
// if it goes dark, when it is back. Its entry goes after three heartbeats, and another run begins. It
// reports whether the run was up.
func (e *engine) crash(id string, dark bool) bool {
	e.mu.Lock()
	if e.ln == nil || e.id != id {
		e.mu.Unlock()
		return false
	}
	ln, ended := e.ln, e.ended
	e.ln = nil
	e.mu.Unlock()
	_ = ln.Close()
	e.f.note("server %s crashes, dark %t", id, dark)
	away := backAfter
	if dark {
		away = darkFor
	} else {
		e.breakConns(ended)
	}
	time.AfterFunc(3*heartbeat, func() { e.f.store.drop("servers/" + id) })
	time.AfterFunc(away, func() {
		if dark {
			e.breakConns(ended)
		}
		if err := e.start(); err != nil {
			e.f.note("server %s can't start again: %v", e.name, err)
		}
	})
	return true
}

// breakConns resets the connections of a run.
func (e *engine) breakConns(ended chan struct{}) {
	e.mu.Lock()
	conns := e.conns
	e.conns = make(map[net.Conn]bool)
	e.mu.Unlock()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	close(ended)
}

// waitEnd blocks until the connections of a run that is down break.
func (e *engine) waitEnd() {
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	<-ended
	panic(http.ErrAbortHandler)
}

// isUp reports whether a run has not ended.
func (e *engine) isUp(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ln != nil && e.id == id
}

func (e *engine) handle(id string, w http.ResponseWriter, r *http.Request) {
	if !e.isUp(id) {
		e.waitEnd()
	}
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
