package tdowner

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdqueue"
)

// FuzzRequest checks that the values of an arbitrary request of a peer are finite
// and not negative when they reach the queue. It then adds the request to a queue
// that holds a valid one and checks that the queue grants every request that it
// did not refuse, the higher priority (the lower tier number) first. Suspects and
// requests with the ticket of the valid one are not added: the queue orders
// suspects by other rules, and a ticket identifies one waiting request.
func FuzzRequest(f *testing.F) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, r := range []*Request{
		{Ticket: 1, Tier: 2, Class: "bench", Workspace: "auditors", Weight: 1, Work: 40, DeadlineMs: 5000, TargetMs: 300, Copies: 3},
		{Ticket: 1, Tier: 2, Weight: nan, Work: nan, MinShare: nan, DeadlineMs: 5000},
		{Ticket: 1, Tier: -1, Weight: inf, Work: inf, MinShare: -inf, DeadlineMs: math.MaxUint32, Copies: -7},
	} {
		b, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var in Request
		if proto.Unmarshal(b, &in) != nil {
			return
		}
		now := tarragondeal.Instant(time.Hour)
		r := queueRequest(now, &in)
		for _, x := range []float64{r.Weight, r.Work, r.MinShare} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Fatalf("value %g reaches the queue", x)
			}
		}
		q := tdqueue.New(tdqueue.Options{Bound: 8})
		valid := queueRequest(now, &Request{Ticket: 7, Tier: 2, Class: "bench", Workspace: "auditors", DeadlineMs: 60_000})
		if r.Ticket == valid.Ticket || r.Suspect {
			return
		}
		q.Add(now, valid)
		_, refusal := q.Add(now, r)
		q.SetCapacity(2)
		want := 2
		if refusal != nil {
			want = 1
		}
		var got []tdqueue.Request
		for next, ok := q.Next(now); ok; next, ok = q.Next(now) {
			got = append(got, next)
		}
		if len(got) != want {
			t.Fatalf("got %d requests from the queue, want %d", len(got), want)
		}
		if want == 2 && got[0].Tier > got[1].Tier {
			t.Fatalf("tier %d was granted before tier %d", got[0].Tier, got[1].Tier)
		}
	})
}
