package tdfit

import "tarragondeal"

// reportedLoad is the load that a server reported to this node last.
type reportedLoad struct {
	tarragondeal.ServerLoad
	known bool
	sent  tarragondeal.Instant // When the request was sent whose answer reported it.
	at    tarragondeal.Instant // When the answer arrived.
}

// ObserveLoad implements tarragondeal.ServerNotices. Answers may overtake one another: the
// one to the request that was sent last counts.
func (f *Fit) ObserveLoad(s tarragondeal.Server, request tarragondeal.RequestID, l tarragondeal.ServerLoad, sent tarragondeal.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := f.listedRun(runOf(&s))
	if listed == nil || listed.reported.known && sent < listed.reported.sent {
		return
	}
	listed.reported = reportedLoad{ServerLoad: l, known: true, sent: sent, at: f.Clock.Now()}
	if l.Slowdown > 0 && listed.engine != nil {
		listed.pace.ObserveSlowdown(l.Slowdown, listed.reported.at)
	}
	if l.Slowdown > 0 && !f.shared[listed.Pool] {
		f.shared[listed.Pool] = true
		f.Log.Info().Str("request", string(request)).Str("server", string(s.ID)).Str("pool", listed.Pool).Float64("slowdown", l.Slowdown).
			Msg("servers of the pool share their machines with other work")
	}
}

// isAdaptive reports whether requests to a pool are scheduled by what this node learns of its
// servers: callers may ask for more than they have room for, or they share their machines
// with other work, since one of them has reported how long work takes at that moment.
func (f *Fit) isAdaptive(pool string) bool { return f.opt.Scarce || f.shared[pool] }
