package tdscale

import (
	"testing"

	"tarragondeal"
)

var testPool = &tarragondeal.ServerPool{
	Name: "m", Engine: &tarragondeal.Engine{Slots: 64, KVTokens: 250_000},
	Scaling: &tarragondeal.Scaling{Min: 1, Max: 6, SpotPrice: 0.15, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}},
}

var testDataCentres = []string{"a", "b", "c"}

func counts(p Plan) (onDemand, spot int) {
	for k, n := range p {
		if k.Spot {
			spot += n
		} else {
			onDemand += n
		}
	}
	return onDemand, spot
}

// TestPlanLosingADataCentreLeavesEnough checks that enough servers remain when
// the platform reclaims all spot servers of one data centre at once.
func TestPlanLosingADataCentreLeavesEnough(t *testing.T) {
	for need := minEngines; need <= 12; need++ {
		p := MakePlan(testPool, need, State{DataCentres: testDataCentres})
		for _, lost := range testDataCentres {
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

func TestPlanNoSpotCapacity(t *testing.T) {
	unavailable := map[Group]bool{{"a", true}: true, {"b", true}: true, {"c", true}: true}
	p := MakePlan(testPool, 10, State{DataCentres: testDataCentres, Unavailable: unavailable, Live: map[Group]int{{"a", true}: 2}})
	onDemand, spot := counts(p)
	if onDemand+spot < 7 || p[Group{"a", true}] != 2 {
		t.Errorf("on-demand %d, spot %d: %v", onDemand, spot, p)
	}
}

// TestPlanDataCentreThatLostAllItsServers checks that the plan includes a data
// centre that has no servers left.
func TestPlanDataCentreThatLostAllItsServers(t *testing.T) {
	p := MakePlan(testPool, 12, State{DataCentres: testDataCentres, Live: map[Group]int{{"b", true}: 6}})
	if p[Group{"a", true}] == 0 || p[Group{"c", true}] == 0 {
		t.Errorf("%v", p)
	}
}

func TestPlanBounds(t *testing.T) {
	for _, need := range []int{0, 1, 5, 100} {
		p := MakePlan(testPool, need, State{DataCentres: testDataCentres})
		for _, c := range testDataCentres {
			if n := p.inDataCentre(c); n < testPool.Scaling.Min || n > testPool.Scaling.Max {
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
		{"idle", Busy{}, minEngines},
		{"long prompts", Busy{Reading: 3}, 10},
		{"many streams", Busy{Running: 288}, 10},
		{"memory", Busy{Tokens: 1_250_000}, 10},
	} {
		if got := RequiredEngines(testPool.Engine, c.busy); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// TestPoolKeepsServersUntilCallersAsk checks that a new holder removes no
// servers before there has been any load, and then only after scaleDownDelay.
func TestPoolKeepsServersUntilCallersAsk(t *testing.T) {
	m := &pool{dataCentres: map[string]bool{"a": true, "b": true, "c": true}}
	live := map[Group]int{{"a", false}: 20, {"b", false}: 20, {"c", false}: 20}
	now := tarragondeal.Instant(1)
	for range 100 {
		now = now.Add(planInterval)
		m.updateNeed(testPool.Engine, Busy{}, live, now)
	}
	if m.need != 40 {
		t.Fatalf("need is %d before any load", m.need)
	}
	m.updateNeed(testPool.Engine, Busy{Running: 1}, live, now)
	m.updateNeed(testPool.Engine, Busy{Running: 1}, live, now.Add(scaleDownDelay/2))
	if m.need != 40 {
		t.Errorf("need is %d before the delay", m.need)
	}
	m.updateNeed(testPool.Engine, Busy{Running: 1}, live, now.Add(scaleDownDelay+planInterval))
	if m.need >= 40 {
		t.Errorf("need is %d after the delay", m.need)
	}
}
