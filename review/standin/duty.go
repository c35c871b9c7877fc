package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// window is usageWindowS of the deployment, and late its usageLateS.
	window = 5 * time.Second
	late   = 10 * time.Second
	// silence is how long the store turns machines away, and calm the time until the next time.
	silence = 5500 * time.Millisecond
	calm    = 2 * time.Second
	// rounds is how often it does so, and atATime to how many machines at a time.
	rounds  = 7
	atATime = 2
	// settle is how long after the last disruption the first window begins that is judged:
	// contactMs and leaseTtlMs, and a second.
	settle = 7 * time.Second
	// judged is how many windows are judged.
	judged = 4
)

// dutiesStop makes the store give no response to two machines at a time: the one that last
// performed a duty, and the one that was turned away least often.
func dutiesStop(s *scene) (bool, string, error) {
	stop := s.ordinary(100 * time.Millisecond)
	times := make([]int, len(s.nodes))
	for range rounds {
		s.turnAway(s.nextMachines(times))
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

// nextMachines returns the machines to turn away next, and counts how often each is.
func (s *scene) nextMachines(times []int) []int {
	var out []int
	last := s.store.lastHolder()
	for i, n := range s.nodes {
		if n.name == last {
			out = append(out, i)
		}
	}
	for len(out) < min(atATime, len(s.nodes)) {
		best := -1
		for i := range s.nodes {
			if !slices.Contains(out, i) && (best < 0 || times[i] < times[best]) {
				best = i
			}
		}
		out = append(out, best)
	}
	for _, i := range out {
		times[i]++
	}
	return out
}

// turnAway makes the store give no response to some machines for a while.
func (s *scene) turnAway(machines []int) {
	for _, i := range machines {
		s.doors[i].silent.Store(s.trouble)
		if s.trouble {
			s.rec.add("the store turns %s away", s.nodes[i].name)
		}
	}
	time.Sleep(silence)
	for _, i := range machines {
		s.doors[i].silent.Store(false)
	}
	s.rec.add("the store serves all machines")
}
