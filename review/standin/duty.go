package main

import (
	"fmt"
	"time"
)

const (
	// window is usageWindowS of the deployment, and late its usageLateS.
	window = 5 * time.Second
	late   = 10 * time.Second
	// silence is how long the store turns one machine away, and calm the time until the next.
	silence = 9 * time.Second
	calm    = 3 * time.Second
	// settle is how long after the last disruption the first window begins that is judged:
	// contactMs and leaseTtlMs, and a second.
	settle = 7 * time.Second
	// judged is how many windows are judged.
	judged = 5
)

// dutiesStop makes the store give no response to one machine after the other.
func dutiesStop(s *scene) (bool, string, error) {
	stop := s.ordinary(100 * time.Millisecond)
	for i, d := range s.doors {
		d.silent.Store(s.trouble)
		if s.trouble {
			s.rec.add("the store turns %s away", s.nodes[i].name)
		}
		time.Sleep(silence)
		d.silent.Store(false)
		s.rec.add("the store serves %s", s.nodes[i].name)
		time.Sleep(calm)
	}
	first := time.Now().Add(settle-calm).UnixNano()/int64(window) + 1
	end := func(n int64) time.Time { return time.Unix(0, (n+1)*int64(window)) }
	time.Sleep(time.Until(end(first + judged - 1).Add(late)))
	served, lost := stop()
	missing := 0
	for n := first; n < first+judged; n++ {
		if !s.store.reportedBy(n, end(n).Add(late)) {
			s.rec.add("usage of window %d didn't come within %s of its end", n, late)
			missing++
		}
	}
	return missing > 0, fmt.Sprintf("usage of %d of %d windows is missing, all of which began later than %s after the last disruption; requests: %d served, %d not",
		missing, judged, settle, served, lost), nil
}
