package tdlimit

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzShares passes arbitrary requests of peers to an allocator and checks that
// the shares are finite and within the limit.
func FuzzShares(f *testing.F) {
	nan, inf := math.NaN(), math.Inf(1)
	for _, r := range []*ShareRequest{
		{Node: "node1", Demands: []*Demand{{
			Subject: "workspace/w", Limit: &Amounts{Requests: 10, Tokens: 100, Concurrent: 4},
			Demand: &Amounts{Requests: 2, Tokens: 50, Concurrent: 1}, Held: &Amounts{},
		}}},
		{Node: "node1", Demands: []*Demand{{Subject: "w", Limit: &Amounts{Requests: nan, Tokens: inf}, Demand: &Amounts{Requests: inf, Tokens: nan}}}},
		{Node: "node1", Demands: []*Demand{{}, {Subject: "w", Limit: &Amounts{Requests: -1}, Held: &Amounts{Requests: inf}}}},
	} {
		b, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var in ShareRequest
		if proto.Unmarshal(b, &in) != nil {
			return
		}
		a := newAllocator()
		for _, d := range in.GetDemands() {
			limit, held := fromMessage(d.GetLimit()), fromMessage(d.GetHeld())
			share := a.share(0, in.GetNode(), d.GetSubject(), limit, fromMessage(d.GetDemand()), held, 3)
			for n, x := range share {
				if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 || x > max(limit[n], held[n])+1 {
					t.Fatalf("share %g of limit %g", x, limit[n])
				}
			}
		}
	})
}
