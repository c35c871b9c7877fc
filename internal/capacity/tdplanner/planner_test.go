package tdplanner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestPlanner(t *testing.T) {
	RegisterFailHandler(Fail)
	// The flag, where it is given, sets the number of runs.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("30"); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "Planner")
}

var policy = Config{
	Use: 0.7, OnDemandUse: 0.95, StartUp: time.Minute, DownAfter: 10 * time.Minute, DownEvery: 5 * time.Minute,
	UpEvery: 30 * time.Second, StartsPerMinute: 60,
}

const every = 10 * time.Second

func viewOf(pools ...tarragondeal.ServerPool) *tarragondeal.View {
	set := &tarragondeal.Set{
		DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}, {Name: "erie"}},
		ServerPools: pools,
		Routes:      []tarragondeal.Route{{Name: "narrate"}},
	}
	for _, p := range pools {
		set.Routes[0].Pools = append(set.Routes[0].Pools, p.Name)
	}
	return tarragondeal.NewView(1, set)
}

var (
	regularPool     = tarragondeal.ServerPool{Name: "regular", Kind: tarragondeal.PoolModel, Slots: 4, CostPerHour: 4, Min: 1, Max: 50}
	reclaimablePool = tarragondeal.ServerPool{Name: "reclaimable", Kind: tarragondeal.PoolModel, Slots: 4, CostPerHour: 1, Max: 50, Reclaimable: true}
)

func serversOf(wants []Want) []tarragondeal.Server {
	var out []tarragondeal.Server
	for _, w := range wants {
		for n := range w.Servers {
			out = append(out, tarragondeal.Server{
				ID: tarragondeal.ServerID(fmt.Sprint(w.Pool, w.DataCentre, n)), Pool: w.Pool, DataCentre: w.DataCentre,
			})
		}
	}
	return out
}

func demandOf(running, withTarget int) []tarragondeal.Demand {
	var out []tarragondeal.Demand
	for _, dataCentre := range []string{"duluth", "erie"} {
		out = append(out,
			tarragondeal.Demand{Pool: "regular", DataCentre: dataCentre, Running: running, WithTarget: withTarget},
			tarragondeal.Demand{Pool: "reclaimable", DataCentre: dataCentre})
	}
	return out
}

func wanted(wants []Want) map[Key]int {
	out := make(map[Key]int)
	for _, w := range wants {
		out[w.Key] = w.Servers
	}
	return out
}

var _ = Describe("the planner", func() {
	It("does not oscillate, whatever the demand", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := viewOf(regularPool, reclaimablePool)
			p := New(policy)
			var wants []Want
			falls, rises := map[Key]int{}, map[Key]int{}
			var now tarragondeal.Instant
			for range int(time.Hour / every) {
				running := rapid.IntRange(0, 300).Draw(t, "running")
				servers := serversOf(wants)
				servers = servers[:rapid.IntRange(0, len(servers)).Draw(t, "listed")]
				next := p.Plan(now, Input{View: v, Demand: demandOf(running, running/2), Servers: servers})
				before := wanted(wants)
				for k, n := range wanted(next) {
					pool := v.ServerPools[k.Pool]
					if n < pool.Min || n > pool.Max {
						t.Fatalf("%v wants %d", k, n)
					}
					if n > before[k] {
						rises[k]++
					}
					if n < before[k] {
						falls[k]++
						if before[k]-n > 1 {
							t.Fatalf("%v fell from %d to %d", k, before[k], n)
						}
					}
				}
				wants, now = next, now.Add(every)
			}
			for k, n := range falls {
				if n > int(time.Hour/policy.DownEvery) {
					t.Fatalf("%v fell %d times in an hour", k, n)
				}
			}
			for k, n := range rises {
				if n > v.ServerPools[k.Pool].Max+falls[k] {
					t.Fatalf("%v rose %d times in an hour", k, n)
				}
			}
		})
	})

	It("converges to enough servers and no more", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			v := viewOf(regularPool, reclaimablePool)
			p := New(policy)
			running := rapid.IntRange(0, 100).Draw(t, "running")
			withTarget := rapid.IntRange(0, running).Draw(t, "withTarget")
			start := rapid.IntRange(0, 20).Draw(t, "start")
			wants := []Want{{Key{"regular", "duluth"}, start}, {Key{"regular", "erie"}, start}, {Key{"reclaimable", "erie"}, start}}
			var now tarragondeal.Instant
			for range int(4 * time.Hour / time.Minute) {
				wants = p.Plan(now, Input{View: v, Demand: demandOf(running, withTarget), Servers: serversOf(wants)})
				now = now.Add(time.Minute)
			}
			w := wanted(wants)
			for _, dataCentre := range []string{"duluth", "erie"} {
				f, c := w[Key{"regular", dataCentre}], w[Key{"reclaimable", dataCentre}]
				if float64(4*f)*policy.OnDemandUse < float64(withTarget)-1e-6 {
					t.Fatalf("%d on-demand servers for %d requests with a target", f, withTarget)
				}
				if float64(4*(f+c))*policy.Use < float64(running)-1e-6 {
					t.Fatalf("%d servers for %d requests", f+c, running)
				}
				if f > regularPool.Min && float64(4*(f-1))*policy.OnDemandUse >= float64(withTarget) {
					t.Fatalf("%d on-demand servers for %d requests with a target", f, withTarget)
				}
				if c > 0 && float64(4*(f+c-1))*policy.Use >= float64(running) {
					t.Fatalf("%d servers for %d requests", f+c, running)
				}
			}
		})
	})

	settled := func(v *tarragondeal.View, running int) (*Planner, []Want, tarragondeal.Instant) {
		p := New(policy)
		var wants []Want
		var now tarragondeal.Instant
		for range 200 {
			wants = p.Plan(now, Input{View: v, Demand: demandOf(running, running), Servers: serversOf(wants)})
			now = now.Add(every)
		}
		return p, wants, now
	}

	cases := []struct {
		name  string
		input func(v *tarragondeal.View, wants []Want) Input
	}{
		{"the list shows no servers", func(v *tarragondeal.View, _ []Want) Input {
			return Input{View: v, Demand: demandOf(40, 40)}
		}},
		{"the list shows more servers than were ordered", func(v *tarragondeal.View, wants []Want) Input {
			return Input{View: v, Demand: demandOf(40, 40), Servers: append(serversOf(wants), serversOf(wants)...)}
		}},
		{"demand is unknown", func(v *tarragondeal.View, wants []Want) Input {
			return Input{View: v, Servers: serversOf(wants)}
		}},
		{"the demand of one pool is unknown", func(v *tarragondeal.View, wants []Want) Input {
			return Input{View: v, Demand: []tarragondeal.Demand{{Pool: "reclaimable", DataCentre: "duluth"}}, Servers: serversOf(wants)}
		}},
	}
	for _, c := range cases {
		It("keeps its numbers when "+c.name, func() {
			v := viewOf(regularPool, reclaimablePool)
			p, wants, now := settled(v, 40)
			for range int(2 * time.Hour / every) {
				next := p.Plan(now, c.input(v, wants))
				for k, n := range wanted(wants) {
					Expect(wanted(next)[k]).To(BeNumerically(">=", n))
				}
				now = now.Add(every)
			}
		})
	}

	It("continues with the numbers of an earlier holder", func() {
		v := viewOf(regularPool, reclaimablePool)
		_, wants, now := settled(v, 40)
		p := New(policy)
		p.Restore(wants, now)
		Expect(p.Plan(now, Input{View: v, Demand: demandOf(0, 0)})).To(Equal(wants))
	})

	It("orders on-demand servers when reclaimable ones are unavailable", func() {
		v := viewOf(regularPool, reclaimablePool)
		p := New(policy)
		var wants []Want
		var now tarragondeal.Instant
		for range int(time.Hour / every) {
			var listed []tarragondeal.Server
			for _, s := range serversOf(wants) {
				if s.Pool == "regular" {
					listed = append(listed, s)
				}
			}
			wants = p.Plan(now, Input{View: v, Demand: demandOf(40, 0), Servers: listed})
			now = now.Add(every)
		}
		Expect(wanted(wants)[Key{"regular", "erie"}]).To(Equal(15))
	})

	It("ignores a pool without a maximum", func() {
		left := regularPool
		left.Min, left.Max = 0, 0
		p := New(policy)
		Expect(p.Plan(0, Input{View: viewOf(left), Demand: demandOf(40, 40)})).To(BeEmpty())
	})

	It("starts no more servers than StartsPerMinute", func() {
		slow := policy
		slow.StartsPerMinute = 2
		p := New(slow)
		var now tarragondeal.Instant
		sum := func(wants []Want) (n int) {
			for _, w := range wants {
				n += w.Servers
			}
			return n
		}
		first := sum(p.Plan(now, Input{View: viewOf(regularPool), Demand: demandOf(100, 100)}))
		for range 30 {
			now = now.Add(every)
			n := sum(p.Plan(now, Input{View: viewOf(regularPool), Demand: demandOf(100, 100)}))
			Expect(n).To(BeNumerically("<=", first+2+int(2*time.Duration(now).Minutes())))
		}
	})
})

// BenchmarkPlan plans for 8 models, each with an on-demand and a spot pool, in
// 7 data centres.
func BenchmarkPlan(b *testing.B) {
	for _, each := range []int{1, 5, 10} {
		b.Run(fmt.Sprint(112*each), func(b *testing.B) { planFor(b, each) })
	}
}

func planFor(b *testing.B, each int) {
	set := &tarragondeal.Set{}
	var demand []tarragondeal.Demand
	var servers []tarragondeal.Server
	for d := range 7 {
		set.DataCentres = append(set.DataCentres, tarragondeal.DataCentre{Name: fmt.Sprint("dataCentre", d)})
	}
	for m := range 8 {
		for _, kind := range []string{"regular", "reclaimable"} {
			pool := regularPool
			pool.Name, pool.Reclaimable = fmt.Sprint(kind, m), kind == "reclaimable"
			set.ServerPools = append(set.ServerPools, pool)
			for d := range 7 {
				dataCentre := fmt.Sprint("dataCentre", d)
				demand = append(demand, tarragondeal.Demand{Pool: pool.Name, DataCentre: dataCentre, Running: 20, WithTarget: 10})
				for n := range each {
					servers = append(servers, tarragondeal.Server{ID: tarragondeal.ServerID(fmt.Sprint(n)), Pool: pool.Name, DataCentre: dataCentre})
				}
			}
		}
		set.Routes = append(set.Routes, tarragondeal.Route{Name: fmt.Sprint("route", m), Pools: []string{fmt.Sprint("regular", m), fmt.Sprint("reclaimable", m)}})
	}
	v := tarragondeal.NewView(1, set)
	p := New(policy)
	var now tarragondeal.Instant
	b.ReportAllocs()
	for b.Loop() {
		p.Plan(now, Input{View: v, Demand: demand, Servers: servers})
		now = now.Add(every)
	}
}
