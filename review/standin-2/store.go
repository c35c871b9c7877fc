package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]*lease
	nextID  uint64
	changed chan struct{}
	addr    string
}

func newStore(ip string) (*store, error) {
	s := &store{
		rev: 100, items: make(map[string]item), leases: make(map[uint64]*lease), nextID: 7000, changed: make(chan struct{}),
	}
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	go func() { _ = http.Serve(ln, mux) }()
	go s.expire()
	return s, nil
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]uint64{"storeRevision": rev})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		Revision uint64 `json:"storeRevision"`
	}{i, rev})
}

// pageItems is the largest number of items in a page.
const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	out, rev := []item{}, s.rev
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			out = append(out, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": out[:min(len(out), pageItems)], "hasMore": more, "storeRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, changed := []item{}, s.rev, s.changed
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// apply records a change. The mutex must be held.
func (s *store) apply(i item) {
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Rev
		if before, ok := s.items[i.Key]; ok {
			i.Created = before.Created
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []struct {
			Key string
			Rev uint64
		} `json:"expectRev"`
		Writes []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range in.Expect {
		i, ok := s.items[e.Key]
		if !ok {
			i = item{Key: e.Key}
		}
		current = append(current, i)
		holds = holds && i.Rev == e.Rev
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, c := range in.Writes {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, c := range in.Writes {
		s.apply(item{Key: c.Key, Value: c.Value, Rev: s.rev, Lease: c.Lease})
	}
	for _, key := range in.Remove {
		s.apply(item{Key: key, Rev: s.rev, Deleted: true})
	}
	answer(w, http.StatusOK, map[string]uint64{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(in.TTLMS)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": in.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.remove(id)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{})
}

// remove ends a lease. The mutex must be held.
func (s *store) remove(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.apply(item{Key: key, Rev: s.rev, Deleted: true})
		}
	}
}

func (s *store) expire() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.remove(id)
			}
		}
		s.mu.Unlock()
	}
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, v any) {
	value, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprint("encode ", key, ": ", err))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.apply(item{Key: key, Value: value, Rev: s.rev})
}

// drop removes a key as a server does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.rev++
		s.apply(item{Key: key, Rev: s.rev, Deleted: true})
	}
}
