package tdshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tarragondeal"
)

const (
	// window is the period over which requests are counted; factor times the rate and
	// slack more are permitted in it.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// step is the time between two attempts of each node to send.
	step = 20 * time.Millisecond
)

// member is a node that sends as many requests as its share permits.
type member struct {
	share *Share
	fleet Fleet
	skew  time.Duration
}

func newMembers(n int) []*member {
	nodes := make([]tarragondeal.NodeID, n)
	for k := range nodes {
		nodes[k] = tarragondeal.NodeID(fmt.Sprintf("node-%d", k))
	}
	out := make([]*member, n)
	for k := range out {
		out[k] = &member{share: New("server"), fleet: Fleet{Self: nodes[k], Nodes: nodes}}
	}
	return out
}

// send returns how many requests the node sends at now, at most most.
func (m *member) send(now time.Time, perSecond float64, most int) int {
	m.fleet.Now = now.Add(m.skew)
	n := 0
	for n < most && m.share.Available(m.fleet, perSecond) {
		m.share.Take()
		n++
	}
	return n
}

var start = time.Unix(1_800_000_000, 0)

// course sends at all members for a time. The rate and the most requests of a node in
// a step may change. It returns the requests of each step.
func course(members []*member, length time.Duration, perSecond func(time.Duration) float64, most func(time.Duration) int) []int {
	var sent []int
	for at := time.Duration(0); at < length; at += step {
		n := 0
		for _, m := range members {
			n += m.send(start.Add(at), perSecond(at), most(at))
		}
		sent = append(sent, n)
	}
	return sent
}

// most returns the most requests in a window.
func most(sent []int) int {
	steps := int(window / step)
	out, sum := 0, 0
	for n, c := range sent {
		sum += c
		if n >= steps {
			sum -= sent[n-steps]
		}
		out = max(out, sum)
	}
	return out
}

func total(sent []int) int {
	sum := 0
	for _, n := range sent {
		sum += n
	}
	return sum
}

func constant[T any](v T) func(time.Duration) T { return func(time.Duration) T { return v } }

func permitted(perSecond float64) int { return int(factor*perSecond*window.Seconds()) + slack }

// TestFleetKeepsRate guards against a server that gets more requests than it accepts
// since each node sends a few, and against a rate of which most is not used.
func TestFleetKeepsRate(t *testing.T) {
	for _, nodes := range []int{1, 6, 59, 350} {
		for _, rate := range []float64{0, 0.1, 1, 3.2, 10, 47.5} {
			if nodes > 100 && rate > 10 {
				continue // For the run time.
			}
			const length = 16 * time.Second
			sent := course(newMembers(nodes), length, constant(rate), constant(1000))
			if n := most(sent); n > permitted(rate) {
				t.Errorf("%d nodes, rate %g: %d requests in %s, %d permitted", nodes, rate, n, window, permitted(rate))
			}
			if n := total(sent); float64(n) < 0.9*rate*length.Seconds()-2 {
				t.Errorf("%d nodes, rate %g: only %d requests in %s", nodes, rate, n, length)
			}
		}
	}
}

// TestUnusedPermitsExpire guards against nodes that save permits and use them all at
// once.
func TestUnusedPermitsExpire(t *testing.T) {
	for _, nodes := range []int{7, 59} {
		for _, rate := range []float64{1, 3.2, 20} {
			burst := func(at time.Duration) int {
				if at < 10*time.Second {
					return 0
				}
				return 1000
			}
			if n := most(course(newMembers(nodes), 15*time.Second, constant(rate), burst)); n > permitted(rate) {
				t.Errorf("%d nodes, rate %g: %d requests in %s, %d permitted", nodes, rate, n, window, permitted(rate))
			}
		}
	}
}

// TestRateThatChanges guards against a rate that is exceeded, or of which nothing is
// used, while the server announces another one in each answer and nodes know
// different ones.
func TestRateThatChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 0))
	for _, nodes := range []int{7, 59} {
		for _, rate := range []float64{1, 3.2, 20} {
			const length = 40 * time.Second
			members := newMembers(nodes)
			var sent []int
			for at := time.Duration(0); at < length; at += step {
				n := 0
				for _, m := range members {
					n += m.send(start.Add(at), rate*(0.9+0.1*rng.Float64()), 1000)
				}
				sent = append(sent, n)
			}
			if n := most(sent); n > permitted(rate) {
				t.Errorf("%d nodes, rate %g: %d requests in %s, %d permitted", nodes, rate, n, window, permitted(rate))
			}
			if n := total(sent); float64(n) < 0.8*rate*length.Seconds() {
				t.Errorf("%d nodes, rate %g: only %d requests in %s", nodes, rate, n, length)
			}
		}
	}
}

// TestNodesThatDisagree guards against a rate that is exceeded while nodes know
// different members, or their clocks differ.
func TestNodesThatDisagree(t *testing.T) {
	for _, nodes := range []int{7, 60} {
		for _, rate := range []float64{1, 3.2, 20} {
			members := newMembers(nodes)
			all := members[0].fleet.Nodes
			for n, m := range members {
				switch n % 4 {
				case 0: // Doesn't know a new node yet.
					if n < nodes-1 {
						m.fleet.Nodes = all[:nodes-1]
					}
				case 1: // Still knows a node that is gone.
					m.fleet.Nodes = append(append([]tarragondeal.NodeID(nil), all...), "gone")
				case 2:
					m.skew = 200 * time.Millisecond
				}
			}
			if n := most(course(members, 20*time.Second, constant(rate), constant(1000))); n > permitted(rate) {
				t.Errorf("%d nodes, rate %g: %d requests in %s, %d permitted", nodes, rate, n, window, permitted(rate))
			}
		}
	}
}

// TestTimeThatSteps guards against permits that are never used again, or all at once,
// after the time has stepped.
func TestTimeThatSteps(t *testing.T) {
	for _, skew := range []time.Duration{-time.Hour, -8 * time.Second, -time.Second, time.Second, time.Hour} {
		members := newMembers(7)
		sent := course(members, 10*time.Second, constant(3.2), constant(1000))
		for _, m := range members {
			m.skew = skew
		}
		sent = append(sent, course(members, 20*time.Second, constant(3.2), constant(1000))...)
		if n := most(sent); n > permitted(3.2) {
			t.Errorf("step of %s: %d requests in %s, %d permitted", skew, n, window, permitted(3.2))
		}
		if n := total(sent); n < 70 {
			t.Errorf("step of %s: only %d requests", skew, n)
		}
	}
}

// BenchmarkAvailable measures the search for a permit in a fleet of 350 nodes, with
// the time advancing by a slot for each.
func BenchmarkAvailable(b *testing.B) {
	for _, rate := range []float64{1, 3.2, 50} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			m := newMembers(350)[0]
			now := start
			for b.Loop() {
				now = now.Add(SlotTime)
				m.send(now, rate, 1)
			}
		})
	}
}

// TestPartsOfSlots guards against slots that belong to two nodes or to none, and against a
// node that uses many more slots since it knows one member less.
func TestPartsOfSlots(t *testing.T) {
	for _, size := range []int{1, 7, 60, 350} {
		members := newMembers(size)
		for _, slots := range []int{0, 1, 5, 57, 64, 400} {
			sum := 0
			for _, m := range members {
				part := Part(m.fleet, "server", slots)
				sum += part
				if size == 1 {
					continue
				}
				fewer := m.fleet
				fewer.Nodes = make([]tarragondeal.NodeID, 0, size-1)
				for _, node := range m.fleet.Nodes {
					if node != members[0].fleet.Self || node == m.fleet.Self {
						fewer.Nodes = append(fewer.Nodes, node)
					}
				}
				if other := Part(fewer, "server", slots); other > part+slots/size/size+2 && size > 2*slots/size {
					t.Errorf("%d nodes, %d slots: %d, and %d with a member less", size, slots, part, other)
				}
			}
			if sum != slots {
				t.Errorf("%d nodes, %d slots: the parts are %d", size, slots, sum)
			}
		}
	}
}
