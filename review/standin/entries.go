package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	// valueBytes is the size of an entry of the other writer; the store permits 1,048,576.
	valueBytes = 1_000_000
	// entries is how many it writes in one transaction, which may have 32.
	entries = 8
	// configTime and drainTime are configMs and drainMs of the deployment.
	configTime = 2 * time.Second
	drainTime  = 2 * time.Second
	// watched is for how long requests are judged after a change.
	watched = 12 * time.Second
)

// largeEntries lets another writer leave entries that can't be read among those of the servers.
// Then a key is withdrawn, and a server begins to drain.
func largeEntries(s *scene) (bool, string, error) {
	stop := s.ordinary(50 * time.Millisecond)
	time.Sleep(2 * time.Second)
	if s.trouble {
		var keys []string
		for i := range entries {
			keys = append(keys, fmt.Sprintf("servers/other-%d", i))
		}
		s.store.putTogether(keys, bytes.Repeat([]byte{0xff}, valueBytes))
		s.rec.add("another writer leaves %d entries of %d bytes that can't be read: %v", entries, valueBytes, keys)
	}
	time.Sleep(500 * time.Millisecond)
	s.store.put("op/config", config(7, key))
	changed := time.Now()
	s.rec.add("the store acknowledges version 7, without the other key")
	s.servers[0].leave()
	draining, left := s.servers[0].id, time.Now()
	served, late := 0, time.Duration(0)
	for i := 0; time.Since(changed) < watched; i++ {
		sent := time.Since(changed)
		a := sendAs(s.rec, s.nodes[i%len(s.nodes)], otherKey, newID(), http.MethodPost, fmt.Sprintf("/book/w%d", i), "chains", 1500*time.Millisecond)
		if sent > configTime && a.err == nil && a.status == http.StatusOK {
			served++
			late = sent
		}
		time.Sleep(100 * time.Millisecond)
	}
	ordinary, lost := stop()
	reached := 0
	for _, a := range s.pool.all() {
		if a.server == draining && a.at.Sub(left) > drainTime {
			reached++
		}
	}
	return served > 0 || reached > 0, fmt.Sprintf("%d requests with a withdrawn key were served that were sent later than %s after its withdrawal (the last one %.1f s after it); %d requests reached a server later than %s after the store knew that it is draining; other requests: %d served, %d not",
		served, configTime, late.Seconds(), reached, drainTime, ordinary, lost), nil
}
