package tdorder

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
)

const (
	// surveyAtOnce is how many backend servers are asked for their load at
	// once.
	surveyAtOnce  = 16
	surveyTimeout = 2 * time.Second
	knownShare    = 0.5 // Of the servers that must answer for demand to be known.
)

// survey is what backend servers report of themselves.
type survey struct {
	servers []tarragondeal.Server
	loads   map[tarragondeal.ServerID]tarragondeal.Load
}

// take reads the list of servers and the load of each.
func take(ctx context.Context, vms tarragondeal.VMList, loads tarragondeal.LoadReader) (survey, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	servers, err := vms.Servers(ctx)
	if err != nil {
		return survey{}, err
	}
	s := survey{servers: servers, loads: make(map[tarragondeal.ServerID]tarragondeal.Load, len(servers))}
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(surveyAtOnce)
	for _, srv := range servers {
		p.Go(func() {
			l, err := loads.Load(ctx, srv)
			if err != nil {
				return // It may have crashed, or be gone already.
			}
			mu.Lock()
			defer mu.Unlock()
			s.loads[srv.ID] = l
		})
	}
	p.Wait()
	return s, nil
}

// demand sums the loads by pool and data centre. All of it counts as owed to
// classes with a target, since servers don't know classes. Where too few
// servers answered, the demand is unknown and left out. A pool without
// servers in a data centre is asked for nothing there.
func (s survey) demand(v *tarragondeal.View) []tarragondeal.Demand {
	type key struct{ pool, place string }
	type sum struct {
		demand          tarragondeal.Demand
		listed, answers int
	}
	sums := make(map[key]*sum)
	for _, srv := range s.servers {
		k := key{srv.Pool, srv.DataCentre}
		if sums[k] == nil {
			sums[k] = &sum{demand: tarragondeal.Demand{Pool: srv.Pool, DataCentre: srv.DataCentre}}
		}
		sums[k].listed++
		if l, ok := s.loads[srv.ID]; ok {
			sums[k].answers++
			sums[k].demand.Running += l.Running
			sums[k].demand.Queued += l.Queued
			sums[k].demand.Promised += l.Running + l.Queued
		}
	}
	var out []tarragondeal.Demand
	for n := range v.Set.ServerPools {
		for k := range v.Set.DataCentres {
			name, place := v.Set.ServerPools[n].Name, v.Set.DataCentres[k].Name
			switch got := sums[key{name, place}]; {
			case got == nil:
				out = append(out, tarragondeal.Demand{Pool: name, DataCentre: place})
			case float64(got.answers) >= knownShare*float64(got.listed):
				out = append(out, got.demand)
			}
		}
	}
	return out
}

// merge takes a reader's lines where it has them and the survey's elsewhere.
func merge(told, surveyed []tarragondeal.Demand) []tarragondeal.Demand {
	type key struct{ pool, place string }
	known := make(map[key]bool, len(told))
	for _, d := range told {
		known[key{d.Pool, d.DataCentre}] = true
	}
	out := append([]tarragondeal.Demand(nil), told...)
	for _, d := range surveyed {
		if !known[key{d.Pool, d.DataCentre}] {
			out = append(out, d)
		}
	}
	return out
}
