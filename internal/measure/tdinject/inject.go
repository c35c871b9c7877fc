// Package tdinject injects the faults of a scenario during a run and reverts
// each at the end of its duration.
//
// # Usage
//
//	i := tdinject.New(fleet, callers, seed, log)
//	i.Run(ctx, start, scenario)
//	stops, pauses := i.Stops(), i.Pauses()
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

// storeDelay is added to each call of a slow key-value service.
const storeDelay = 300 * time.Millisecond

// lostAnswerInterval is the number of writes for each lost answer.
const lostAnswerInterval = 3

// stopTimeout limits the time of a graceful shutdown.
const stopTimeout = 60 * time.Second

// Injector injects faults into a running fleet.
type Injector struct {
	fleet   *tdfleet.Fleet
	callers *tdcaller.Callers
	log     zerolog.Logger

	mu     sync.Mutex
	rand   *rand.Rand
	busy   map[*tdfleet.Node]bool // Nodes with a fault.
	stops  []tdcheck.Stop
	pauses []tdcheck.Pause
}

// New returns an injector that makes its random choices from the seed.
func New(f *tdfleet.Fleet, c *tdcaller.Callers, seed uint64, log zerolog.Logger) *Injector {
	return &Injector{
		fleet: f, callers: c, log: log, rand: rand.New(rand.NewPCG(seed, 3)), busy: make(map[*tdfleet.Node]bool),
	}
}

// Stops returns the graceful shutdowns so far.
func (i *Injector) Stops() []tdcheck.Stop {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]tdcheck.Stop(nil), i.stops...)
}

// Pauses returns the suspensions of nodes so far.
func (i *Injector) Pauses() []tdcheck.Pause {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]tdcheck.Pause(nil), i.pauses...)
}

// Run injects all faults and returns when the last one is reverted.
func (i *Injector) Run(ctx context.Context, start time.Time, s *tdscenario.Scenario) {
	var wg conc.WaitGroup
	for _, f := range s.Faults {
		wg.Go(func() {
			if !tdclock.Sleep(ctx, time.Until(start.Add(time.Duration(f.At)))) {
				return
			}
			i.log.Info().Str("kind", string(f.Kind)).Dur("for", time.Duration(f.For)).Msg("fault started")
			i.inject(ctx, f)
			i.log.Info().Str("kind", string(f.Kind)).Msg("fault ended")
		})
	}
	wg.Wait()
}

func (i *Injector) inject(ctx context.Context, f tdscenario.Fault) {
	switch f.Kind {
	case tdscenario.Burst, tdscenario.Poison:
		// These are part of the plan of arrivals.
	case tdscenario.Straggle, tdscenario.CrashEngines, tdscenario.Reclaim, tdscenario.CutAnswers:
		i.injectServerFault(ctx, f)
	case tdscenario.KillNode, tdscenario.PauseNode, tdscenario.StopNode, tdscenario.CutNode:
		i.injectNodeFault(ctx, f)
	case tdscenario.StoreAway, tdscenario.StoreSlow, tdscenario.LoseAnswers:
		i.injectStoreFault(ctx, f)
	case tdscenario.Withdraw:
		i.withdrawKey(ctx)
	case tdscenario.Race:
		i.publishConcurrently(ctx)
	}
}

func (i *Injector) injectServerFault(ctx context.Context, f tdscenario.Fault) {
	wait := func() { tdclock.Sleep(ctx, time.Duration(f.For)) }
	switch f.Kind {
	case tdscenario.Straggle:
		engines := i.pickEngines(f.Count)
		for _, e := range engines {
			e.Straggle(f.Factor)
		}
		wait()
		for _, e := range engines {
			e.Straggle(1)
		}
	case tdscenario.CrashEngines:
		for _, e := range i.pickEngines(f.Count) {
			e.Crash()
		}
	case tdscenario.CutAnswers:
		for _, s := range i.fleet.Cluster.Servers {
			if s.Service != nil {
				s.Service.CutAnswers(f.Count)
			}
		}
	case tdscenario.Reclaim:
		if s := i.pickReclaimable(); s != nil {
			i.fleet.Cluster.Reclaim(s.VM.Pool, s.VM.DataCentre, time.Duration(f.Notice))
		}
	}
}

// pickEngines returns n random engines whose servers are not leaving, at least
// one if there is any.
func (i *Injector) pickEngines(n int) []*tdengine.Engine {
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

// pickReclaimable returns a random server of the last model pool, which is the
// reclaimable one in each deployment. It returns nil if all its servers are
// leaving.
func (i *Injector) pickReclaimable() *tdcluster.Server {
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

// reserveNode reserves a random node that has no other fault. It returns nil if
// it finds none, and always leaves one node without a fault.
func (i *Injector) reserveNode() *tdfleet.Node {
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

func (i *Injector) releaseNode(n *tdfleet.Node) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, n)
}

func (i *Injector) injectNodeFault(ctx context.Context, f tdscenario.Fault) {
	n := i.reserveNode()
	if n == nil {
		return
	}
	defer i.releaseNode(n)
	switch f.Kind {
	case tdscenario.KillNode:
		n.Kill()
		i.restartNode(ctx, n, time.Duration(f.For))
	case tdscenario.StopNode:
		i.stopNode(ctx, n)
		i.restartNode(ctx, n, time.Duration(f.For))
	case tdscenario.PauseNode:
		from := time.Now()
		n.Pause()
		tdclock.Sleep(ctx, time.Duration(f.For))
		n.Resume()
		i.mu.Lock()
		i.pauses = append(i.pauses, tdcheck.Pause{Node: n.Name, From: from, To: time.Now()})
		i.mu.Unlock()
	case tdscenario.CutNode:
		n.CutPeers()
		tdclock.Sleep(ctx, time.Duration(f.For))
		n.HealPeers()
	}
}

// restartNode starts an ended node again after a time and updates the callers
// before and after it.
func (i *Injector) restartNode(ctx context.Context, n *tdfleet.Node, after time.Duration) {
	i.updateCallers()
	tdclock.Sleep(ctx, after)
	if err := i.fleet.StartNode(context.WithoutCancel(ctx), n); err != nil {
		i.log.Error().Err(err).Msg("could not restart node")
		return
	}
	i.updateCallers()
}

// stopNode shuts a node down gracefully. In a real system callers learn from the
// entry addresses that a node is leaving; here updateCallers simulates that.
func (i *Injector) stopNode(ctx context.Context, n *tdfleet.Node) {
	from := time.Now()
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		tdclock.Sleep(ctx, 300*time.Millisecond)
		i.updateCallers(n)
	}()
	code := n.Stop(stopTimeout)
	<-updated
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stops = append(i.stops, tdcheck.Stop{Node: n.Name, From: from, To: time.Now(), ExitCode: code})
}

// updateCallers sets the callers' entry VMs to all nodes but those excluded.
func (i *Injector) updateCallers(exclude ...*tdfleet.Node) {
	var nodes []tdcaller.Node
	for _, n := range i.fleet.Nodes {
		excluded := false
		for _, e := range exclude {
			excluded = excluded || e == n
		}
		if !excluded {
			nodes = append(nodes, tdcaller.Node{Name: n.Name, Addr: n.Callers})
		}
	}
	i.callers.SetNodes(nodes)
}

func (i *Injector) injectStoreFault(ctx context.Context, f tdscenario.Fault) {
	p := i.fleet.Cluster.Platform
	switch f.Kind {
	case tdscenario.StoreAway:
		p.SetOutage(true)
		defer p.SetOutage(false)
	case tdscenario.StoreSlow:
		p.SetDelay(storeDelay)
		defer p.SetDelay(0)
	case tdscenario.LoseAnswers:
		p.LoseAnswers(lostAnswerInterval)
		defer p.LoseAnswers(0)
	}
	tdclock.Sleep(ctx, time.Duration(f.For))
}

// withdrawKey withdraws the key of a random workspace. It retries at other
// nodes, since a node may have a fault and a concurrent change may conflict.
func (i *Injector) withdrawKey(ctx context.Context) {
	i.mu.Lock()
	workspace := i.rand.IntN(i.callers.Workspaces())
	i.mu.Unlock()
	name := i.callers.KeyName(workspace)
	for attempt := range 20 {
		n := i.fleet.Nodes[attempt%len(i.fleet.Nodes)]
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

// publishConcurrently changes the same object at all nodes at once, as operators
// who do not coordinate would.
func (i *Injector) publishConcurrently(ctx context.Context) {
	var wg conc.WaitGroup
	for k, n := range i.fleet.Nodes {
		wg.Go(func() {
			err := i.fleet.Change(ctx, n, func(s *tarragondeal.Set) {
				s.Workspaces[0].Weight = 1 + float64(k)/10
			})
			i.log.Info().Str("at", n.Name).Str("result", fmt.Sprint(err)).Msg("concurrent publication ended")
		})
	}
	wg.Wait()
}
