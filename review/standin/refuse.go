package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"
)

// failShare is the share of requests that servers fail, in percent.
const failShare = 40

// failedAsRefused makes servers fail a part of the requests that they have run, with a status
// that says so only by the lack of X-Not-Run.
func failedAsRefused(s *scene) (bool, string, error) {
	s.pool.failure = func(r *http.Request) int {
		h := fnv.New32a()
		_, _ = h.Write([]byte(r.Header.Get("X-Request-Id")))
		if s.trouble && h.Sum32()%100 < failShare {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	refused := map[string]int{}
	for i := range 200 {
		id := newID()
		a := send(s.rec, s.nodes[i%len(s.nodes)], id, http.MethodPost, fmt.Sprintf("/book/%d", i), "chains", 1500*time.Millisecond)
		if a.err == nil && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused[id] = a.status
		}
		time.Sleep(30 * time.Millisecond)
	}
	ran := 0
	for _, a := range s.pool.all() {
		if a.ran && refused[a.id] != 0 {
			ran++
		}
	}
	return ran > 0, fmt.Sprintf("%d of 200 requests were answered 503 or 429; %d of these have run", len(refused), ran), nil
}
