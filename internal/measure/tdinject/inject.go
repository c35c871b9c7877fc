// Package tdinject brings a scenario's faults about while a run goes on, and
// undoes each when its time is over.
//
// # Usage
//
//	i := tdinject.New(fleet, callers, seed, log)
//	i.Run(ctx, start, scenario)
//	stops := i.Stops()
package tdinject

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/measure/tdcaller"
	"tarragondeal/internal/measure/tdfleet"
	"tarragondeal/internal/measure/tdscenario"
	"tarragondeal/internal/standin/tdcheck"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
)

// slowStore is how much longer calls of a slow store take.
const slowStore = 300 * time.Millisecond

// loseEvery is which writes' answers are lost.
const loseEvery = 3

// stopWithin bounds a planned stop.
const stopWithin = 60 * time.Second

// Injector brings faults about.
type Injector struct {
	fleet   *tdfleet.Fleet
	callers *tdcaller.Callers
	log     zerolog.Logger

	mu    sync.Mutex
	rand  *rand.Rand
	busy  map[*tdfleet.Node]bool
	stops []tdcheck.Stop
	pause []tdcheck.Pause
}

// New returns an injector whose choices follow from the seed.
func New(f *tdfleet.Fleet, c *tdcaller.Callers, seed uint64, log zerolog.Logger) *Injector {
	return &Injector{
		fleet: f, callers: c, log: log, rand: rand.New(rand.NewPCG(seed, 3)), busy: make(map[*tdfleet.Node]bool),
	}
}

// Stops returns the planned stops so far.
func (i *Injector) Stops() []tdcheck.Stop {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]tdcheck.Stop(nil), i.stops...)
}

// Pauses returns the pauses of nodes so far.
func (i *Injector) Pauses() []tdcheck.Pause {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]tdcheck.Pause(nil), i.pause...)
}

// Run brings all faults about and returns when the last one is undone.
func (i *Injector) Run(ctx context.Context, start time.Time, s *tdscenario.Scenario) {
	var wg conc.WaitGroup
	for _, f := range s.Faults {
		wg.Go(func() {
			if !tdclock.Sleep(ctx, time.Until(start.Add(time.Duration(f.At)))) {
				return
			}
			i.log.Info().Str("kind", string(f.Kind)).Dur("for", time.Duration(f.For)).Msg("fault begins")
			i.one(ctx, f)
			i.log.Info().Str("kind", string(f.Kind)).Msg("fault is over")
		})
	}
	wg.Wait()
}

func (i *Injector) one(ctx context.Context, f tdscenario.Fault) {
	switch f.Kind {
	case tdscenario.Burst, tdscenario.Poison:
		// The plan of arrivals has them.
	case tdscenario.Straggle, tdscenario.CrashEngines, tdscenario.Reclaim, tdscenario.CutAnswers:
		i.servers(ctx, f)
	case tdscenario.KillNode, tdscenario.PauseNode, tdscenario.StopNode, tdscenario.CutNode:
		i.node(ctx, f)
	case tdscenario.StoreAway, tdscenario.StoreSlow, tdscenario.LoseAnswers:
		i.store(ctx, f)
	case tdscenario.Withdraw:
		i.withdraw(ctx)
	case tdscenario.Race:
		i.race(ctx)
	}
}

func (i *Injector) servers(ctx context.Context, f tdscenario.Fault) {
	hold := func() { tdclock.Sleep(ctx, time.Duration(f.For)) }
	switch f.Kind {
	case tdscenario.Straggle:
		engines := i.engines(f.Count)
		for _, e := range engines {
			e.Straggle(f.Factor)
		}
		hold()
		for _, e := range engines {
			e.Straggle(1)
		}
	case tdscenario.CrashEngines:
		for _, e := range i.engines(f.Count) {
			e.Crash()
		}
	case tdscenario.CutAnswers:
		for _, s := range i.fleet.Cluster.Servers {
			if s.Service != nil {
				s.Service.CutAnswers(f.Count)
			}
		}
	case tdscenario.Reclaim:
		if s := i.reclaimable(); s != nil {
			i.fleet.Cluster.Reclaim(s.VM.Pool, s.VM.DataCentre, time.Duration(f.Notice))
		}
	}
}

func (i *Injector) engines(n int) []*tdengine.Engine {
	var all []*tdengine.Engine
	for _, s := range i.fleet.Cluster.Servers {
		if s.Engine != nil && s.Leaving().IsZero() {
			all = append(all, s.Engine)
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all[:min(max(n, 1), len(all))]
}

// reclaimable picks a server of the pool that is listed last among the model
// pools, which is the reclaimable one of each deployment.
func (i *Injector) reclaimable() *tdcluster.Server {
	var all []*tdcluster.Server
	pool := ""
	for _, s := range i.fleet.Cluster.Servers {
		if s.Engine != nil {
			pool = s.VM.Pool
		}
	}
	for _, s := range i.fleet.Cluster.Servers {
		if s.VM.Pool == pool && s.Leaving().IsZero() {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return all[i.rand.IntN(len(all))]
}

// take picks a node that no other fault has, and reserves it.
func (i *Injector) take() *tdfleet.Node {
	i.mu.Lock()
	defer i.mu.Unlock()
	for range 10 * len(i.fleet.Nodes) {
		n := i.fleet.Nodes[i.rand.IntN(len(i.fleet.Nodes))]
		if !i.busy[n] && len(i.busy) < len(i.fleet.Nodes)-1 {
			i.busy[n] = true
			return n
		}
	}
	return nil
}

func (i *Injector) release(n *tdfleet.Node) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, n)
}

func (i *Injector) node(ctx context.Context, f tdscenario.Fault) {
	n := i.take()
	if n == nil {
		return
	}
	defer i.release(n)
	switch f.Kind {
	case tdscenario.KillNode:
		n.Kill()
		i.replace(ctx, n, time.Duration(f.For))
	case tdscenario.StopNode:
		i.stop(ctx, n)
		i.replace(ctx, n, time.Duration(f.For))
	case tdscenario.PauseNode:
		from := time.Now()
		n.Pause()
		tdclock.Sleep(ctx, time.Duration(f.For))
		n.Resume()
		i.mu.Lock()
		i.pause = append(i.pause, tdcheck.Pause{Node: n.Name, From: from, To: time.Now()})
		i.mu.Unlock()
	case tdscenario.CutNode:
		n.CutPeers()
		tdclock.Sleep(ctx, time.Duration(f.For))
		n.HealPeers()
	}
}

func (i *Injector) replace(ctx context.Context, n *tdfleet.Node, after time.Duration) {
	i.tell()
	tdclock.Sleep(ctx, after)
	if err := i.fleet.StartNode(context.WithoutCancel(ctx), n); err != nil {
		i.log.Error().Err(err).Msg("node was not replaced")
		return
	}
	i.tell()
}

// stop stops a node as planned: callers learn from the entry answers that it
// leaves, which is played here by telling them.
func (i *Injector) stop(ctx context.Context, n *tdfleet.Node) {
	from := time.Now()
	told := make(chan struct{})
	go func() {
		defer close(told)
		tdclock.Sleep(ctx, 300*time.Millisecond)
		i.tell(n)
	}()
	code := n.Stop(stopWithin)
	<-told
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stops = append(i.stops, tdcheck.Stop{Node: n.Name, From: from, To: time.Now(), ExitCode: code})
}

// tell gives callers the nodes that can be reached, but for those named.
func (i *Injector) tell(but ...*tdfleet.Node) {
	var nodes []tdcaller.Node
	for _, n := range i.fleet.Nodes {
		gone := false
		for _, b := range but {
			gone = gone || b == n
		}
		if !gone {
			nodes = append(nodes, tdcaller.Node{Name: n.Name, Addr: n.Callers})
		}
	}
	i.callers.SetNodes(nodes)
}

func (i *Injector) store(ctx context.Context, f tdscenario.Fault) {
	p := i.fleet.Cluster.Platform
	switch f.Kind {
	case tdscenario.StoreAway:
		p.SetOutage(true)
		defer p.SetOutage(false)
	case tdscenario.StoreSlow:
		p.SetDelay(slowStore)
		defer p.SetDelay(0)
	case tdscenario.LoseAnswers:
		p.LoseAnswers(loseEvery)
		defer p.LoseAnswers(0)
	}
	tdclock.Sleep(ctx, time.Duration(f.For))
}

// withdraw withdraws the key of one workspace, trying several nodes and
// times, as an operator would.
func (i *Injector) withdraw(ctx context.Context) {
	i.mu.Lock()
	workspace := i.rand.IntN(i.callers.Workspaces())
	i.mu.Unlock()
	name := i.callers.KeyName(workspace)
	for try := range 20 {
		n := i.fleet.Nodes[try%len(i.fleet.Nodes)]
		found := false
		err := i.fleet.Change(ctx, n, func(s *tarragondeal.Set) {
			for k := range s.Keys {
				if s.Keys[k].Name == name {
					s.Keys[k].Withdrawn, found = true, true
				}
			}
		})
		if err == nil && found {
			i.callers.SetWithdrawn(workspace, time.Now())
			return
		}
		if !tdclock.Sleep(ctx, time.Second) {
			return
		}
	}
}

// race lets operators at all nodes change the same object at once.
func (i *Injector) race(ctx context.Context) {
	var wg conc.WaitGroup
	for k, n := range i.fleet.Nodes {
		wg.Go(func() {
			err := i.fleet.Change(ctx, n, func(s *tarragondeal.Set) {
				s.Workspaces[0].Weight = 1 + float64(k)/10
			})
			i.log.Info().Str("at", n.Name).Str("result", fmt.Sprint(err)).Msg("operator published")
		})
	}
	wg.Wait()
}
