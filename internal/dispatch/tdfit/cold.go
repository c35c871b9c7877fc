package tdfit

import (
	"slices"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// coldBurst is how many seconds' permits of a cold server may be used within one second:
	// those of that second, and of the time for which older ones may be used.
	coldBurst = float64(time.Second+tdshare.PermitTTL+tdshare.SlotTime) / float64(time.Second)
	// coldMargin is the share of what a cold server may get that is used. The rest allows for
	// nodes that know other members.
	coldMargin = 0.9
	// coldSettle is how long a node sends nothing to cold servers after its first configuration:
	// if all nodes start at once, it knows few others at first and would use their permits. At
	// 11 nodes all knew each other within a second.
	coldSettle = time.Second
)

// coldState is until when a server is cold.
type coldState struct {
	until tarragondeal.Instant
	rate  *rateNotice // Its limit while it is cold; nil until it is needed.
}

// list records an entry of the server. Its time left counts from when the entry was received. A
// server that turns cold again writes its entry again, perhaps with the same time left.
func (c *coldState) list(before, s *tarragondeal.Server, now tarragondeal.Instant) {
	if before != nil && before.WarmUpLeft == s.WarmUpLeft && before.ListedAt == s.ListedAt {
		return
	}
	if s.ListedAt != 0 {
		now = s.ListedAt
	}
	c.until = now.Add(s.WarmUpLeft)
}

// warmUpLeft returns how much longer a server is slow. For servers that bear any number of
// requests it is what their entry says.
func (f *Fit) warmUpLeft(s *server, now tarragondeal.Instant) time.Duration {
	if f.coldLimit(s) == nil {
		return s.WarmUpLeft
	}
	return s.cold.until.Sub(now)
}

// coldRate returns how many requests a second a cold server may get from all nodes together.
func (f *Fit) coldRate(p *tarragondeal.ServerPool) float64 {
	b := f.opt.Bounds
	most := p.ColdRate*max(1, b.ColdExcess) + b.ColdSlack
	return min(p.ColdRate, coldMargin*most/coldBurst)
}

// coldLimit returns the limit of a server that is cold, or nil.
func (f *Fit) coldLimit(s *server) *rateNotice {
	if f.view == nil || s.cold.until <= f.Clock.Now() {
		return nil
	}
	p := f.view.ServerPools[s.Pool]
	if p == nil || p.ColdRate <= 0 {
		return nil
	}
	if s.cold.rate == nil {
		s.cold.rate = &rateNotice{share: tdshare.New(f.limits.shares + string(s.ID)), at: f.Clock.Now()}
		if l := f.limits.byRun[runOf(&s.Server)]; l != nil {
			s.cold.rate.share = l.share // limitOf says why.
		}
		f.Scope.Counter("coldServers").Inc(1)
		f.Log.Info().Str("server", string(s.ID)).Str("pool", s.Pool).Str("dataCentre", s.DataCentre).Float64("perSecond", f.coldRate(p)).
			Dur("for", s.cold.until.Sub(f.Clock.Now())).Msg("server is cold; it gets few requests")
	}
	s.cold.rate.ServerRate = tarragondeal.ServerRate{Announced: true, PerSecond: f.coldRate(p)}
	return s.cold.rate
}

// SetEvacuated replaces the list of evacuated data centres, to whose servers nothing is sent.
func (f *Fit) SetEvacuated(dataCentres []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = slices.Sorted(slices.Values(dataCentres))
	servers := 0
	for _, s := range f.servers {
		s.evacuated = f.isEvacuated(s.DataCentre)
		if s.evacuated {
			servers++
		}
	}
	f.Scope.Gauge("evacuatedServers").Update(float64(servers))
	f.Log.Info().Strs("dataCentres", f.evacuated).Int("servers", servers).Msg("servers of evacuated data centres get no requests")
}

// Evacuated returns the evacuated data centres.
func (f *Fit) Evacuated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated
}

func (f *Fit) isEvacuated(dataCentre string) bool {
	_, found := slices.BinarySearch(f.evacuated, dataCentre)
	return found
}
