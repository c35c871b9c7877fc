package vm_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is a key of the stand-in store, or an event of its watch.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store and its endpoints for orders and
// usage reports.
type store struct {
	mu          sync.Mutex
	rev         uint64
	items       map[string]item
	events      []item
	changed     chan struct{}
	leases      map[uint64]time.Time
	ttls        map[uint64]time.Duration
	unavailable bool
	holdsBack   bool                         // Watches give no events, and the latest revision.
	forgets     bool                         // No watch is answered: the history is gone.
	ahead       aheadAnswer                  // How watches from a later revision than the store's are answered.
	alter       alterAnswer                  // Nil for no change.
	dropped     uint64                       // The history up to this revision is gone.
	calls       int                          // Watches and listings.
	failReports bool                         // Reports of usage are recorded, and answered as if they were not.
	reports     map[int64][]map[string]int64 // By window: the counts per workspace of each report, in order.
	duties      []dutyCall                   // In order.
	bySecond    bySecond
	srv         *httptest.Server
}

// dutyCall is a usage report or an order of servers.
type dutyCall struct {
	subject, holder string
	fence           uint64
	at              time.Time
}

// aheadAnswer is how a store answers a watch from a revision that it has not reached, as it
// can have lost it.
type aheadAnswer int

const (
	aheadGone    aheadAnswer = iota // 410.
	aheadWaits                      // After the whole wait, without events.
	aheadAnswers                    // At once, without events.
	aheadEchoes                     // At once, without events, and with the revision that was asked for.
)

// alterAnswer returns what is sent instead of the body of an answer, and may take its time.
type alterAnswer func(r *http.Request, status int, body []byte) []byte

func newStore() *store {
	s := &store{
		rev: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]time.Time{},
		ttls: map[uint64]time.Duration{}, reports: map[int64][]map[string]int64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grantLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	mux.HandleFunc("POST /usage", s.usage)
	mux.HandleFunc("POST /scale", s.scale)
	s.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		unavailable, alter := s.unavailable, s.alter
		s.mu.Unlock()
		if unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.bySecond.count(r)
		if alter == nil {
			mux.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		mux.ServeHTTP(answer, r)
		body := alter(r, answer.Code, answer.Body.Bytes())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(body)
	}))
	return s
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.notify()
}

// setHistory changes how the store answers watches.
func (s *store) setHistory(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notify()
}

// copyOf returns what a copy of the store holds.
func (s *store) copyOf() (items map[string]item, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items), s.rev
}

// restore replaces the store by an earlier copy. Revisions after it are given again, and with
// them the ids of leases. Of its leases those go on that have keys in the copy.
func (s *store) restore(items map[string]item, rev uint64) {
	s.setHistory(func() {
		s.items, s.rev, s.dropped = make(map[string]item), rev, rev
		maps.Copy(s.items, items)
		s.events = nil
		leases := map[uint64]time.Time{}
		for _, i := range s.items {
			if i.Lease != 0 {
				leases[i.Lease] = time.Now().Add(s.ttls[i.Lease])
			}
		}
		s.leases = leases
	})
}

// notify wakes all pending watches.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key to the store, as operators and servers do.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, text, 0)
}

// remove deletes a key from the store.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	s.items[key] = i
	s.events = append(s.events, i)
	s.notify()
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Rev: s.rev, Deleted: true})
	s.notify()
}

// expireLeases removes expired leases and their keys.
func (s *store) expireLeases() {
	for id, until := range s.leases {
		if time.Now().Before(until) {
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
	s.expireLeases()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		Revision uint64 `json:"storeRevision"`
	}{i, s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.expireLeases()
	out := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	const page = 3 // Small, so that lists span several pages.
	more := len(out) > page
	writeJSON(w, http.StatusOK, map[string]any{"items": out[:min(page, len(out))], "hasMore": more, "storeRevision": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expireLeases()
		out := []item{}
		for _, e := range s.events {
			if e.Rev > after && !s.holdsBack {
				out = append(out, e)
			}
		}
		rev, changed, unavailable, gone := s.rev, s.changed, s.unavailable, s.forgets || after < s.dropped
		ahead := after > s.rev
		how := s.ahead
		s.mu.Unlock()
		gone = gone && (!ahead || how == aheadGone) || ahead && how == aheadGone
		if unavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if ahead && how == aheadEchoes {
			rev = after
		}
		if len(out) > 0 || ahead && how >= aheadAnswers {
			writeJSON(w, http.StatusOK, map[string]any{"events": out, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-until:
			writeJSON(w, http.StatusOK, map[string]any{"events": out, "storeRevision": rev})
			return
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
	s.expireLeases()
	for _, e := range t.ExpectRev {
		if s.items[e.Key].Rev != e.Rev {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, n := range t.Writes {
		if _, ok := s.leases[n.Lease]; n.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.write(n.Key, n.Value, n.Lease)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grantLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTLMS int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	s.leases[s.rev], s.ttls[s.rev] = time.Now().Add(ttl), ttl
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.rev, "ttlMs": in.TTLMS})
}

func (s *store) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": s.ttls[id].Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.leases[id] = time.Now()
		s.expireLeases()
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) usage(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[in.Window] = append(s.reports[in.Window], in.Counts)
	s.recordDuty(r, "usage")
	if s.failReports {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *store) scale(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDuty(r, in.Service+"/"+in.Zone)
	w.WriteHeader(http.StatusOK)
}

func (s *store) recordDuty(r *http.Request, subject string) {
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
	s.duties = append(s.duties, dutyCall{subject: subject, holder: r.Header.Get("X-Duty-Holder"), fence: fence, at: time.Now()})
}

// dutyViolations returns what the platform must never see: a fencing token lower than one before,
// one token of two holders, and a window with two counts.
func (s *store) dutyViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	highest := make(map[string]dutyCall)
	holders := make(map[string]string)
	for _, d := range s.duties {
		token := fmt.Sprint(d.subject, " ", d.fence)
		if other, ok := holders[token]; ok && other != d.holder {
			out = append(out, fmt.Sprintf("%s: token %d of %s and of %s", d.subject, d.fence, other, d.holder))
		}
		holders[token] = d.holder
		if before := highest[d.subject]; d.fence < before.fence {
			out = append(out, fmt.Sprintf("%s: token %d of %s after %d of %s", d.subject, d.fence, d.holder, before.fence, before.holder))
		} else {
			highest[d.subject] = d
		}
	}
	for window, reports := range s.reports {
		for _, r := range reports[1:] {
			if !maps.Equal(r, reports[0]) {
				out = append(out, fmt.Sprintf("window %d: %v after %v", window, r, reports[0]))
			}
		}
	}
	return out
}

// dutyHolder returns the holder that acted last, and when; empty if none has.
func (s *store) dutyHolder() (holder string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.duties) == 0 {
		return "", time.Time{}
	}
	last := s.duties[len(s.duties)-1]
	return last.holder, last.at
}

// reported returns the number of requests reported for a workspace, summed over
// all windows. Of several reports of a window only the last one counts.
func (s *store) reported(workspace string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum int64
	for _, reports := range s.reports {
		sum += reports[len(reports)-1][workspace]
	}
	return sum
}

// gate forwards calls to a store, and rejects them while it is closed: to its nodes the
// store is unavailable, to others it isn't.
type gate struct {
	srv    *httptest.Server
	closed atomic.Bool
}

func newGate(s *store) *gate {
	g := &gate{}
	g.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.srv.Config.Handler.ServeHTTP(w, r)
	}))
	return g
}
