package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// history is historyS of the deployment.
const history = 20 * time.Second

// pageItems and pageBytes bound a page of a listing.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform: its key-value store, and its calls for orders and
// usage reports.
type store struct {
	rec *recorder
	ln  net.Listener

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	events  []item
	times   []time.Time // Of the events.
	dropped uint64      // The last revision whose event is no longer kept.
	changed chan struct{}
	leases  map[uint64]*lease
	reports []report
	calls   http.Handler
}

// report is a usage report that the platform accepted.
type report struct {
	at     time.Time
	window int64
	holder string
	counts map[string]int64
}

// door is an address of the store for one machine. While it is silent, calls get no response,
// and their connections return nothing further.
type door struct {
	ln     net.Listener
	silent atomic.Bool
}

func (s *store) openDoor() (*door, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{ln: ln}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d.silent.Load() {
				_, _ = io.Copy(io.Discard, r.Body)
				s.rec.add("store gives no response to %s %s", r.Method, r.URL.Path)
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			s.calls.ServeHTTP(w, r)
		}))
	}()
	return d, nil
}

func (d *door) addr() string { return d.ln.Addr().String() }

func newStore(rec *recorder) (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rec: rec, ln: ln, rev: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	mux.HandleFunc("POST /usage", s.usage)
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.calls = mux
	go func() { _ = http.Serve(ln, mux) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

func (s *store) addr() string { return s.ln.Addr().String() }

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// put writes a key, as operators and servers do.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, text, 0)
}

// putTogether writes a value under some keys in one transaction, as another writer does.
func (s *store) putTogether(keys []string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.write(key, value, 0)
	}
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) write(key string, value []byte, id uint64) {
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: id}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.publish(i)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.publish(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) publish(e item) {
	now := time.Now()
	for len(s.times) > 0 && now.Sub(s.times[0]) > history {
		s.dropped = s.events[0].Rev
		s.events, s.times = s.events[1:], s.times[1:]
	}
	s.events, s.times = append(s.events, e), append(s.times, now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.end) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.delete(key)
			}
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < min(pageItems, len(out)) && (n == 0 || size+len(out[n].Value) <= pageBytes) {
		size += len(out[n].Value)
		n++
	}
	reply(w, http.StatusOK, map[string]any{"items": out[:n], "hasMore": n < len(out), "storeRevision": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		out := []item{}
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				out = append(out, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(out) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": out, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-until:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev []item   `json:"expectRev"`
		Writes    []item   `json:"writes"`
		Remove    []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.ExpectRev {
		if s.items[e.Key].Rev != e.Rev {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, i := range t.Writes {
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMS int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(max(in.TTLMS, 1000)) * time.Millisecond
	s.leases[s.rev] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.rev, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now()
	s.expire()
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) usage(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	holder := r.Header.Get("X-Duty-Holder")
	s.mu.Lock()
	s.reports = append(s.reports, report{at: time.Now(), window: in.Window, holder: holder, counts: in.Counts})
	s.mu.Unlock()
	s.rec.add("platform accepts usage of window %d from %s, token %s: %v", in.Window, holder, r.Header.Get("X-Fence-Token"), in.Counts)
	w.WriteHeader(http.StatusOK)
}

// reportedBy reports whether the usage of a window was reported until a time.
func (s *store) reportedBy(window int64, until time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.reports, func(r report) bool { return r.window == window && !r.at.After(until) })
}

// lastHolder returns the machine that last performed a duty, or an empty name.
func (s *store) lastHolder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) == 0 {
		return ""
	}
	return s.reports[len(s.reports)-1].holder
}
