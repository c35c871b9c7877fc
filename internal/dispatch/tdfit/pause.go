package tdfit

import (
	"math/rand/v2"
	"time"

	"tarragondeal"
)

const (
	// pauseSpread is the random part of the retry delay of requests that are refused during
	// a pause, as a share of what is left of it.
	pauseSpread = 0.5
	// pauseMargin is how much later a pause must end than one that is known, to be another
	// one: the nodes' clocks differ.
	pauseMargin = 250 * time.Millisecond
	// maxPeerPause bounds a pause that a peer reports.
	maxPeerPause = 10 * time.Minute
)

// nodePause identifies the pause of one node at one run of a server.
type nodePause struct {
	run  serverRun
	node tarragondeal.NodeID
}

// ObservePause implements tarragondeal.ServerNotices. It binds this node, for one run of the
// server, and the node through which the request went.
func (f *Fit) ObservePause(s tarragondeal.Server, request tarragondeal.RequestID, d time.Duration, through tarragondeal.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	run, until := runOf(&s), now.Add(d)
	f.setPause(run, until, "request", string(request))
	if through != "" {
		f.setOtherPause(nodePause{run: run, node: through}, f.Wall().Add(d).UnixMilli())
	}
}

// setPause records that a server accepts no requests of this node until then.
func (f *Fit) setPause(run serverRun, until tarragondeal.Instant, sourceKind, source string) {
	now := f.Clock.Now()
	for known, until := range f.pauses {
		if until <= now {
			delete(f.pauses, known)
		}
	}
	if until <= f.pauses[run] {
		return
	}
	f.pauses[run] = until
	pool := ""
	if listed := f.listedRun(run); listed != nil {
		listed.pausedUntil, pool = until, listed.Pool
	}
	f.Scope.Counter("pauses").Inc(1)
	f.Log.Info().Str(sourceKind, source).Str("server", string(run.id)).Str("pool", pool).Dur("for", until.Sub(now)).
		Msg("server accepts no requests of this node for a while")
}

// setOtherPause records the pause of another node, which may not know of it. It ends at
// untilMillis on the clock on which the nodes agree.
func (f *Fit) setOtherPause(p nodePause, untilMillis int64) {
	now := f.Wall().UnixMilli()
	for known, end := range f.otherPauses {
		if end <= now {
			delete(f.otherPauses, known)
		}
	}
	if untilMillis > now && untilMillis > f.otherPauses[p]+pauseMargin.Milliseconds() {
		f.otherPauses[p] = untilMillis
	}
}

// newPauses returns the pauses of other nodes that differ from the ones in sent, and updates
// those.
func (f *Fit) newPauses(sent map[nodePause]int64) []*Pause {
	var out []*Pause
	for p, until := range f.otherPauses {
		if until <= sent[p] {
			continue
		}
		sent[p] = until
		out = append(out, &Pause{Server: string(p.run.id), StartedMillis: p.run.started, Node: string(p.node), UntilMillis: until})
	}
	for p := range sent {
		if f.otherPauses[p] == 0 {
			delete(sent, p)
		}
	}
	return out
}

// receivePauses records the pauses that a peer knows, of this node or another one.
func (f *Fit) receivePauses(from tarragondeal.NodeID, pauses []*Pause, now tarragondeal.Instant) {
	if len(pauses) == 0 {
		return
	}
	wall := f.Wall().UnixMilli()
	for _, m := range pauses {
		p := nodePause{
			run:  serverRun{id: tarragondeal.ServerID(m.GetServer()), started: m.GetStartedMillis()},
			node: tarragondeal.NodeID(m.GetNode()),
		}
		end := min(m.GetUntilMillis(), wall+maxPeerPause.Milliseconds())
		left := time.Duration(max(0, end-wall)) * time.Millisecond
		switch until := now.Add(left); {
		case p.node != f.Self:
			f.setOtherPause(p, end)
		case left > 0 && until > f.pauses[p.run].Add(pauseMargin):
			f.setPause(p.run, until, "peer", string(from))
		}
	}
}

// refusePaused returns a refusal if all servers to which a request may be sent accept
// none of this node until then. Callers that are refused at the same time return at
// different times.
func (f *Fit) refusePaused(a *tarragondeal.Ask, until tarragondeal.Instant) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, paused := f.Clock.Now(), 0
	var least time.Duration
	for _, pool := range a.Pools {
		for _, s := range f.pools[pool] {
			if !eligible(a, s) {
				continue
			}
			if s.pausedUntil <= until {
				return nil
			}
			if left := s.pausedUntil.Sub(now); paused == 0 || left < least {
				least = left
			}
			paused++
		}
	}
	if paused == 0 {
		return nil
	}
	after := least + time.Duration(pauseSpread*rand.Float64()*float64(least))
	f.Log.Info().Str("request", string(a.Request)).Int("tier", a.Tier).Int("paused", paused).Dur("retryAfter", after).
		Msg("no server to send to during their pauses")
	return refused(tarragondeal.ReasonOverload, "the backend servers accept no requests now", after)
}
