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

// measurePublish publishes the first set and then alternates changes to it and
// withdrawals of keys.
func (f *fleet) measurePublish(o options, r *result) error {
	rng := rand.New(rand.NewPCG(o.seed, o.seed))
	set := newSet(o)
	first, err := f.publishSet(0, 0, set, r)
	if err != nil {
		return err
	}
	r.FirstSeconds = first.confirmed
	time.Sleep(2 * time.Second)
	before, err := f.readUsage()
	if err != nil {
		return err
	}
	r.LoadedMB = before.resident / float64(len(f.nodes)) / 1e6
	var changes, withdrawals, published, spread []float64
	version := tarragondeal.Version(1)
	keys := rng.Perm(len(set.Keys)) // Each key is withdrawn at most once.
	for n := range 2 * o.changes {
		at := rng.IntN(len(f.nodes))
		var t timing
		if n%2 == 0 {
			set.Workspaces[rng.IntN(len(set.Workspaces))].Weight = 1 + rng.Float64()
			t, err = f.publishSet(at, version, set, r)
			changes = append(changes, t.confirmed)
			published = append(published, t.published)
		} else {
			k := keys[n%len(keys)]
			set.Keys[k].Withdrawn = true
			t, err = f.withdrawKey(at, version, set.Keys[k].Name, r)
			withdrawals = append(withdrawals, t.confirmed)
		}
		if err != nil {
			return err
		}
		version++
		spread = append(spread, t.spread...)
	}
	after, err := f.readUsage()
	if err != nil {
		return err
	}
	total := float64(2 * o.changes)
	r.ChangeSentKB = ((after.sent-before.sent)/float64(len(f.nodes))/1e3 - r.SentKBs*after.at.Sub(before.at).Seconds()) / total
	r.WritesPerChange = float64(after.writes-before.writes) / total
	r.ChangeMedian, r.ChangeWorst = medianAndMax(changes)
	r.WithdrawMedian, r.WithdrawWorst = medianAndMax(withdrawals)
	r.PublishMedian, _ = medianAndMax(published)
	r.SpreadMedian, r.SpreadWorst = medianAndMax(spread)
	return nil
}

func medianAndMax(v []float64) (median, highest float64) {
	if len(v) == 0 {
		return 0, 0
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}

// sampleSize is the number of nodes, besides the publishing node, that are polled
// for the version in force.
const sampleSize = 6

// pollInterval is the interval between the polls of a node. It limits the store
// calls that answers cost, of which each node has only a share.
const pollInterval = 50 * time.Millisecond

// timing holds the durations of one publication in seconds.
type timing struct {
	published float64   // Until the publishing node had the version in force.
	confirmed float64   // Until the publishing node knew that all nodes have it.
	spread    []float64 // From published until each node of the sample had it.
}

// publishSet publishes a set at the node with the index at.
func (f *fleet) publishSet(at int, base tarragondeal.Version, set *tarragondeal.Set, r *result) (timing, error) {
	text, err := tdset.Format(set)
	if err != nil {
		return timing{}, err
	}
	in := tdoperator.Published{Version: base, Text: string(text), Wait: tarragondeal.Duration(time.Minute)}
	return f.applyChange(at, base, http.MethodPut, "/operator/set", in, r)
}

func (f *fleet) withdrawKey(at int, base tarragondeal.Version, key string, r *result) (timing, error) {
	in := tdoperator.NewKey{Wait: tarragondeal.Duration(time.Minute)}
	return f.applyChange(at, base, http.MethodPost, "/operator/keys/"+key+"/withdraw", in, r)
}

// applyChange makes a change at a node and polls a sample of nodes until they
// have it.
func (f *fleet) applyChange(at int, base tarragondeal.Version, method, path string, in any, r *result) (timing, error) {
	start := time.Now()
	seen := make([]float64, 1+min(sampleSize, len(f.nodes)-1))
	var wg sync.WaitGroup
	for k := range seen {
		n := f.nodes[(at+k*max(1, len(f.nodes)/len(seen)))%len(f.nodes)]
		if base == 0 {
			break
		}
		wg.Go(func() {
			for status(n).Version <= base && time.Since(start) < time.Minute {
				time.Sleep(pollInterval)
			}
			seen[k] = time.Since(start).Seconds()
		})
	}
	var out tdoperator.Result
	code, err := f.nodes[at].Operator(method, path, in, &out)
	t := timing{confirmed: time.Since(start).Seconds()}
	wg.Wait()
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("publish version %d at %s: status %d", base+1, f.nodes[at].Name, code)
	}
	r.Lagging += len(out.Lagging)
	t.published = seen[0]
	for _, s := range seen[1:] {
		t.spread = append(t.spread, s-t.published)
	}
	return t, err
}

// newSet returns a set of the size that the options give.
func newSet(o options) *tarragondeal.Set {
	s := &tarragondeal.Set{
		ServerPools:    []tarragondeal.ServerPool{{Name: "narrator", Kind: tarragondeal.PoolModel, Model: "m", Slots: 4}},
		RequestClasses: []tarragondeal.RequestClass{{Name: "bench", Tier: 1, Deadline: tarragondeal.Duration(10 * time.Second)}},
		Routes:         []tarragondeal.Route{{Name: "narrate", Class: "bench", Pools: []string{"narrator"}}},
	}
	for n := range o.dataCentres {
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
