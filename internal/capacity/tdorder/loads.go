package tdorder

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
)

const (
	// maxConcurrentReads bounds the concurrent reads of loads.
	maxConcurrentReads = 16
	collectTimeout     = 2 * time.Second
	minAnswerShare     = 0.5 // Of the servers that must answer for demand to be known.
)

// loadReports holds the listed backend servers and the loads that they report.
type loadReports struct {
	servers []tarragondeal.Server
	loads   map[tarragondeal.ServerID]tarragondeal.Load
}

// collectLoads reads the list of servers and the load of each.
func collectLoads(ctx context.Context, vms tarragondeal.VMList, loads tarragondeal.LoadReader) (loadReports, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	servers, err := vms.Servers(ctx)
	if err != nil {
		return loadReports{}, err
	}
	r := loadReports{servers: servers, loads: make(map[tarragondeal.ServerID]tarragondeal.Load, len(servers))}
	var mu sync.Mutex
	p := pool.New().WithMaxGoroutines(maxConcurrentReads)
	for _, srv := range servers {
		p.Go(func() {
			l, err := loads.Load(ctx, srv)
			if err != nil {
				return // The server may have crashed or left.
			}
			mu.Lock()
			defer mu.Unlock()
			r.loads[srv.ID] = l
		})
	}
	p.Wait()
	return r, nil
}

// demand sums the loads by pool and data centre. All requests count as requests
// with a target, since servers don't know classes. If too few servers answered,
// the demand is unknown and omitted. A pool without servers in a data centre
// has no demand there.
func (r loadReports) demand(v *tarragondeal.View) []tarragondeal.Demand {
	type key struct{ pool, dataCentre string }
	type sum struct {
		demand          tarragondeal.Demand
		listed, answers int
	}
	sums := make(map[key]*sum)
	for _, srv := range r.servers {
		k := key{srv.Pool, srv.DataCentre}
		if sums[k] == nil {
			sums[k] = &sum{demand: tarragondeal.Demand{Pool: srv.Pool, DataCentre: srv.DataCentre}}
		}
		sums[k].listed++
		if l, ok := r.loads[srv.ID]; ok {
			sums[k].answers++
			sums[k].demand.Running += l.Running
			sums[k].demand.Queued += l.Queued
			sums[k].demand.WithTarget += l.Running + l.Queued
		}
	}
	var out []tarragondeal.Demand
	for n := range v.Set.ServerPools {
		for k := range v.Set.DataCentres {
			name, dataCentre := v.Set.ServerPools[n].Name, v.Set.DataCentres[k].Name
			switch got := sums[key{name, dataCentre}]; {
			case got == nil:
				out = append(out, tarragondeal.Demand{Pool: name, DataCentre: dataCentre})
			case float64(got.answers) >= minAnswerShare*float64(got.listed):
				out = append(out, got.demand)
			}
		}
	}
	return out
}

// merge returns the demand that nodes counted, completed by the demand that
// servers reported.
func merge(fromNodes, reported []tarragondeal.Demand) []tarragondeal.Demand {
	type key struct{ pool, dataCentre string }
	known := make(map[key]bool, len(fromNodes))
	for _, d := range fromNodes {
		known[key{d.Pool, d.DataCentre}] = true
	}
	out := append([]tarragondeal.Demand(nil), fromNodes...)
	for _, d := range reported {
		if !known[key{d.Pool, d.DataCentre}] {
			out = append(out, d)
		}
	}
	return out
}
