package tdadmit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tarragondeal/internal/dispatch/tdadmit"
)

// TestRequestsOfAllNodesAtOneMoment answers the load of requests on a route that was just
// added, which come to all nodes at one moment while the servers of its pool are few and
// reject requests. Sent at once, most of them meet a full queue.
func TestRequestsOfAllNodesAtOneMoment(t *testing.T) {
	const (
		nodes, slots, queue = 81, 6, 24
		call, target        = 15 * time.Millisecond, 150 * time.Millisecond
		tries               = 200
	)
	serve := func(r *rand.Rand, spread time.Duration) int {
		arrivals := make([]time.Duration, nodes)
		for n := range arrivals {
			arrivals[n] = time.Duration(r.Float64() * float64(spread))
		}
		slices.Sort(arrivals)
		var ends []time.Duration // Of accepted calls, in order.
		for _, at := range arrivals {
			waiting := len(ends) - slices.IndexFunc(append(ends, 1<<62), func(end time.Duration) bool { return end > at })
			if waiting >= slots+queue {
				continue
			}
			start := at
			if len(ends) >= slots {
				start = max(at, ends[len(ends)-slots])
			}
			ends = append(ends, start+time.Duration(r.ExpFloat64()*float64(call)/2)+call/2)
			slices.Sort(ends)
		}
		return len(ends)
	}
	r := rand.New(rand.NewPCG(1, 2))
	spread := tdadmit.Spread(target, tdadmit.Plain{Rejected: time.Second, RoomAge: -1})
	atOnce, held := 0, 0
	for range tries {
		atOnce += serve(r, 0)
		held += serve(r, spread)
	}
	t.Logf("%d of %d are served at once, %d when they are spread over %v", atOnce/tries, nodes, held/tries, spread)
	if spread <= 0 || spread > target/2 || held < atOnce*3/2 {
		t.Errorf("%d are served at once, %d when they are spread over %v", atOnce/tries, held/tries, spread)
	}
}

func TestSpread(t *testing.T) {
	const target = 100 * time.Millisecond
	for _, c := range []struct {
		name  string
		plain tdadmit.Plain
		held  bool
	}{
		{"nothing rejected", tdadmit.Plain{Rejected: -1, RoomAge: -1}, false},
		{"rejected", tdadmit.Plain{Rejected: time.Second, RoomAge: -1}, true},
		{"rejected long ago", tdadmit.Plain{Rejected: time.Minute, RoomAge: -1}, false},
		{"room just reported", tdadmit.Plain{Rejected: time.Second, RoomAge: 10 * time.Millisecond}, false},
		{"room reported long ago", tdadmit.Plain{Rejected: time.Second, RoomAge: time.Second}, true},
	} {
		if got := tdadmit.Spread(target, c.plain) > 0; got != c.held {
			t.Errorf("%s: held back %t", c.name, got)
		}
	}
	if tdadmit.Spread(0, tdadmit.Plain{Rejected: time.Second, RoomAge: -1}) != 0 {
		t.Error("a request without time is held back")
	}
}
