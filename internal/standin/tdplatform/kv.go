package tdplatform

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"tarragondeal/internal/platform/tdwire"
)

// kv is the state of the key-value service.
type kv struct {
	entries  map[string]tdwire.Entry // Includes deleted ones, for watches.
	revision uint64
	changed  chan struct{} // Closed at the next change.
	leases   map[string]*lease
}

type lease struct {
	holder  string
	fence   uint64
	expires time.Time
}

func newKV() kv {
	return kv{
		entries: make(map[string]tdwire.Entry),
		changed: make(chan struct{}),
		leases:  make(map[string]*lease),
	}
}

func (s *kv) put(e tdwire.Entry) tdwire.Entry {
	s.revision++
	e.Revision = s.revision
	s.entries[e.Key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return e
}

// get returns the entry of a key, or an empty one if it does not exist or was
// deleted.
func (s *kv) get(key string) tdwire.Entry {
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return tdwire.Entry{Key: key}
	}
	return e
}

func (s *kv) changedAfter(prefix string, after uint64) []tdwire.Entry {
	var out []tdwire.Entry
	for key, e := range s.entries {
		if e.Revision > after && strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Revision < out[b].Revision })
	return out
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	e := p.kv.get(r.URL.Query().Get("key"))
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, e)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		http.Error(w, "limit must be a positive number", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	out := tdwire.Entries{Revision: p.kv.revision}
	for key, e := range p.kv.entries {
		if !e.Deleted && strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			out.Entries = append(out.Entries, e)
		}
	}
	p.mu.Unlock()
	sort.Slice(out.Entries, func(a, b int) bool { return out.Entries[a].Key < out.Entries[b].Key })
	if len(out.Entries) > limit {
		out.Entries = out.Entries[:limit]
	}
	writeJSON(w, http.StatusOK, out)
}

func (p *Platform) swap(w http.ResponseWriter, r *http.Request) {
	var in tdwire.Swap
	if !readJSON(w, r, &in) {
		return
	}
	if len(in.Value) > 1<<20 {
		http.Error(w, "value is over a megabyte", http.StatusBadRequest)
		return
	}
	p.compareAndSwap(w, in, tdwire.Entry{Key: in.Key, Value: in.Value})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	var in tdwire.Swap
	if !readJSON(w, r, &in) {
		return
	}
	p.compareAndSwap(w, in, tdwire.Entry{Key: in.Key, Deleted: true})
}

func (p *Platform) compareAndSwap(w http.ResponseWriter, in tdwire.Swap, next tdwire.Entry) {
	p.mu.Lock()
	current := p.kv.get(in.Key)
	if current.Revision != in.Prev {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, tdwire.Conflict{Entry: current})
		return
	}
	e := p.kv.put(next)
	p.mu.Unlock()
	e.Value = nil
	writeJSON(w, http.StatusOK, e)
}

// watch returns the changes after a revision, and waits for one if there are
// none. With revision zero it returns the current state, if there is any.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := time.ParseDuration(q.Get("wait"))
	if errAfter != nil || errWait != nil {
		http.Error(w, "after must be a revision and wait a duration", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		out := tdwire.Entries{Entries: p.kv.changedAfter(q.Get("prefix"), after), Revision: p.kv.revision}
		changed := p.kv.changed
		outage := p.faults.outage
		p.mu.Unlock()
		if outage {
			http.Error(w, "service is away", http.StatusServiceUnavailable)
			return
		}
		if len(out.Entries) > 0 {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) acquire(w http.ResponseWriter, r *http.Request) {
	p.updateLease(w, r, func(l *lease, in tdwire.LeaseCall, now time.Time) bool {
		if now.Before(l.expires) && l.holder != in.Holder {
			return false
		}
		if !now.Before(l.expires) || l.holder != in.Holder {
			l.fence++
		}
		l.holder, l.expires = in.Holder, now.Add(in.TTL)
		return true
	})
}

func (p *Platform) renew(w http.ResponseWriter, r *http.Request) {
	p.updateLease(w, r, func(l *lease, in tdwire.LeaseCall, now time.Time) bool {
		if !now.Before(l.expires) || l.holder != in.Holder || l.fence != in.Fence {
			return false
		}
		l.expires = now.Add(in.TTL)
		return true
	})
}

func (p *Platform) release(w http.ResponseWriter, r *http.Request) {
	p.updateLease(w, r, func(l *lease, in tdwire.LeaseCall, now time.Time) bool {
		if l.holder != in.Holder || l.fence != in.Fence {
			return false
		}
		l.expires = now
		return true
	})
}

func (p *Platform) updateLease(w http.ResponseWriter, r *http.Request, do func(*lease, tdwire.LeaseCall, time.Time) bool) {
	var in tdwire.LeaseCall
	if !readJSON(w, r, &in) {
		return
	}
	now := time.Now()
	p.mu.Lock()
	l := p.kv.leases[in.Name]
	if l == nil {
		l = &lease{}
		p.kv.leases[in.Name] = l
	}
	ok := do(l, in, now)
	holder, fence, left := l.holder, l.fence, l.expires.Sub(now)
	p.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusConflict, tdwire.Conflict{Holder: holder, Fence: fence})
		return
	}
	writeJSON(w, http.StatusOK, tdwire.LeaseAnswer{Holder: holder, Fence: fence, Left: left})
}
