package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/object/tdset"
)

// publish publishes the whole set and then changes and withdrawals.
func (f *fleet) publish(o options, r *result) error {
	rng := rand.New(rand.NewPCG(o.seed, o.seed))
	set := bigSet(o)
	first, err := f.put(0, 0, set, r)
	if err != nil {
		return err
	}
	r.FirstSeconds = first.all
	time.Sleep(2 * time.Second)
	before, err := f.usage()
	if err != nil {
		return err
	}
	r.LoadedMB = before.resident / float64(len(f.nodes)) / 1e6
	var change, withdraw, written, spread []float64
	version := tarragondeal.Version(1)
	keys := rng.Perm(len(set.Keys)) // A key is withdrawn once.
	for n := range 2 * o.changes {
		at := rng.IntN(len(f.nodes))
		var t timing
		if n%2 == 0 {
			set.Workspaces[rng.IntN(len(set.Workspaces))].Weight = 1 + rng.Float64()
			t, err = f.put(at, version, set, r)
			change = append(change, t.all)
			written = append(written, t.own)
		} else {
			k := keys[n%len(keys)]
			set.Keys[k].Withdrawn = true
			t, err = f.withdraw(at, version, set.Keys[k].Name, r)
			withdraw = append(withdraw, t.all)
		}
		if err != nil {
			return err
		}
		version++
		spread = append(spread, t.spread...)
	}
	after, err := f.usage()
	if err != nil {
		return err
	}
	total := float64(2 * o.changes)
	r.ChangeSentKB = ((after.sent-before.sent)/float64(len(f.nodes))/1e3 - r.SentKBs*after.at.Sub(before.at).Seconds()) / total
	r.WritesPerChange = float64(after.writes-before.writes) / total
	r.ChangeMedian, r.ChangeWorst = medianAndWorst(change)
	r.WithdrawMedian, r.WithdrawWorst = medianAndWorst(withdraw)
	r.PublishMedian, _ = medianAndWorst(written)
	r.SpreadMedian, r.SpreadWorst = medianAndWorst(spread)
	return nil
}

func medianAndWorst(v []float64) (median, worst float64) {
	if len(v) == 0 {
		return 0, 0
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}

// sampleSize is how many nodes are asked all along whether they have a set.
const sampleSize = 6

// pollEvery is how often they are asked. An answer costs a node calls of the
// store, of which it has a share.
const pollEvery = 50 * time.Millisecond

// timing is how long one publication took, in seconds.
type timing struct {
	own    float64   // Until the publishing node had it in force.
	all    float64   // Until that node knew that all have it.
	spread []float64 // From own until each of a sample of nodes had it.
}

// put publishes a set at a node.
func (f *fleet) put(at int, base tarragondeal.Version, set *tarragondeal.Set, r *result) (timing, error) {
	text, err := tdset.Format(set)
	if err != nil {
		return timing{}, err
	}
	in := tdoperator.Published{Version: base, Text: string(text), Wait: tarragondeal.Duration(time.Minute)}
	return f.change(at, base, http.MethodPut, "/operator/set", in, r)
}

func (f *fleet) withdraw(at int, base tarragondeal.Version, key string, r *result) (timing, error) {
	in := tdoperator.NewKey{Wait: tarragondeal.Duration(time.Minute)}
	return f.change(at, base, http.MethodPost, "/operator/keys/"+key+"/withdraw", in, r)
}

// change makes a change at a node and watches a sample of nodes.
func (f *fleet) change(at int, base tarragondeal.Version, method, path string, in any, r *result) (timing, error) {
	began := time.Now()
	seen := make([]float64, 1+min(sampleSize, len(f.nodes)-1))
	var wg sync.WaitGroup
	for k := range seen {
		n := f.nodes[(at+k*max(1, len(f.nodes)/len(seen)))%len(f.nodes)]
		if base == 0 {
			break
		}
		wg.Go(func() {
			for status(n).Version <= base && time.Since(began) < time.Minute {
				time.Sleep(pollEvery)
			}
			seen[k] = time.Since(began).Seconds()
		})
	}
	var out tdoperator.Result
	code, err := f.nodes[at].Operator(method, path, in, &out)
	t := timing{all: time.Since(began).Seconds()}
	wg.Wait()
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("publish version %d at %s: status %d", base+1, f.nodes[at].Name, code)
	}
	r.Lagging += len(out.Lagging)
	t.own = seen[0]
	for _, s := range seen[1:] {
		t.spread = append(t.spread, s-t.own)
	}
	return t, err
}

func bigSet(o options) *tarragondeal.Set {
	s := &tarragondeal.Set{
		ServerPools:    []tarragondeal.ServerPool{{Name: "narrator", Kind: tarragondeal.PoolModel, Model: "m", Slots: 4}},
		RequestClasses: []tarragondeal.RequestClass{{Name: "bench", Tier: 1, Deadline: tarragondeal.Duration(10 * time.Second)}},
		Routes:         []tarragondeal.Route{{Name: "narrate", Class: "bench", Pools: []string{"narrator"}}},
	}
	for n := range o.dataCentre {
		s.DataCentres = append(s.DataCentres, tarragondeal.DataCentre{Name: fmt.Sprintf("dc%d", n), Region: "lakes"})
	}
	for n := range o.workspaces {
		s.Workspaces = append(s.Workspaces, tarragondeal.Workspace{Name: fmt.Sprintf("workspace%05d", n), DataCentres: []string{"dc0", "dc1"}})
	}
	for n := range o.keys {
		s.Keys = append(s.Keys, tarragondeal.Key{
			Name: fmt.Sprintf("key%05d", n), Workspace: fmt.Sprintf("workspace%05d", n%o.workspaces),
			Salt: fmt.Sprintf("c2FsdHNhbHRzYWx0%06d==", n), Digest: fmt.Sprintf("ZGlnZXN0ZGlnZXN0ZGlnZXN0ZGlnZXN0%011d=", n),
		})
	}
	return s
}
