package tdscale

import (
	"testing"

	"tarragondeal"
)

var testPool = &tarragondeal.ServerPool{
	Name: "m", Engine: &tarragondeal.Engine{Slots: 64, KVTokens: 250_000},
	Scaling: &tarragondeal.Scaling{Min: 1, Max: 6, SpotPrice: 0.15, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}},
}

var testCentres = []string{"a", "b", "c"}

func counts(p Plan) (firm, spot int) {
	for k, n := range p {
		if k.Spot {
			spot += n
		} else {
			firm += n
		}
	}
	return firm, spot
}

// TestPlanLosingADataCentreLeavesEnough checks the reserve that reclaimable
// servers need, since all of a data centre's are taken back at once.
func TestPlanLosingADataCentreLeavesEnough(t *testing.T) {
	for need := leastEngines; need <= 12; need++ {
		p := MakePlan(testPool, need, State{Centres: testCentres})
		for _, lost := range testCentres {
			left := 0
			for k, n := range p {
				if !k.Spot || k.DataCentre != lost {
					left += n
				}
			}
			if left < need {
				t.Errorf("need %d: %d left without %s of %v", need, left, lost, p)
			}
		}
	}
}

func TestPlanNoReclaimableServersToBeHad(t *testing.T) {
	scarce := map[Kind]bool{{"a", true}: true, {"b", true}: true, {"c", true}: true}
	p := MakePlan(testPool, 10, State{Centres: testCentres, Scarce: scarce, Live: map[Kind]int{{"a", true}: 2}})
	firm, spot := counts(p)
	if firm+spot < 7 || p[Kind{"a", true}] != 2 {
		t.Errorf("firm %d, spot %d: %v", firm, spot, p)
	}
}

// TestPlanDataCentreThatLostAllItsServers checks that a data centre without a
// server is planned for like the others.
func TestPlanDataCentreThatLostAllItsServers(t *testing.T) {
	p := MakePlan(testPool, 12, State{Centres: testCentres, Live: map[Kind]int{{"b", true}: 6}})
	if p[Kind{"a", true}] == 0 || p[Kind{"c", true}] == 0 {
		t.Errorf("%v", p)
	}
}

func TestPlanBounds(t *testing.T) {
	for _, need := range []int{0, 1, 5, 100} {
		p := MakePlan(testPool, need, State{Centres: testCentres})
		for _, c := range testCentres {
			if n := p.in(c); n < testPool.Scaling.Min || n > testPool.Scaling.Max {
				t.Errorf("need %d: %d servers in %s", need, n, c)
			}
		}
	}
}

func TestNeed(t *testing.T) {
	for _, c := range []struct {
		name string
		busy Busy
		want int
	}{
		{"idle", Busy{}, leastEngines},
		{"long prompts", Busy{Reading: 3}, 10},
		{"many streams", Busy{Running: 288}, 10},
		{"memory", Busy{Tokens: 1_250_000}, 10},
	} {
		if got := Need(testPool.Engine, c.busy); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestPoolKeepsServersUntilCallersAsk checks that a new holder gives nothing up
// before there has been work to judge by, and then only after a while.
func TestPoolKeepsServersUntilCallersAsk(t *testing.T) {
	m := &pool{centres: map[string]bool{"a": true, "b": true, "c": true}}
	live := map[Kind]int{{"a", false}: 20, {"b", false}: 20, {"c", false}: 20}
	now := tarragondeal.Instant(1)
	for range 100 {
		now = now.Add(lookEvery)
		m.plan(testPool.Engine, Busy{}, live, now)
	}
	if m.need != 40 {
		t.Fatalf("planned by %d before anybody asked", m.need)
	}
	m.plan(testPool.Engine, Busy{Running: 1}, live, now)
	m.plan(testPool.Engine, Busy{Running: 1}, live, now.Add(lowerAfter/2))
	if m.need != 40 {
		t.Errorf("planned by %d at once", m.need)
	}
	m.plan(testPool.Engine, Busy{Running: 1}, live, now.Add(lowerAfter+lookEvery))
	if m.need >= 40 {
		t.Errorf("still planned by %d", m.need)
	}
}
