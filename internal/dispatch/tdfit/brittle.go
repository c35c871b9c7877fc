package tdfit

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// roomShare is the share of a brittle server's slots that is divided over the nodes.
	// The rest covers nodes that know other members, and requests that a server still
	// runs for a node that has given them up or started again.
	roomShare = 0.9
	// rejectionShare is the share of the rejections that a brittle server can take that
	// requests beyond the nodes' parts of its room may cause.
	rejectionShare = 0.25
	// rejectionBackoff is how long a brittle server gets no requests of a node that it has
	// rejected.
	rejectionBackoff = 500 * time.Millisecond
)

// nodeRoom is a node's part of a server's room: how many of its requests may be at the
// server at once.
type nodeRoom struct {
	requests int
	slots    int                  // As of which it was computed.
	at       tarragondeal.Instant // When the members were last read.
}

// ObserveBrittle implements tarragondeal.ServerNotices.
func (f *Fit) ObserveBrittle(s tarragondeal.Server, request tarragondeal.RequestID, rejects tarragondeal.ServerRate, sent tarragondeal.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeRate(f.brittle, runOf(&s), request, rejects, sent)
}

// brittleOf returns the notice by which a server is brittle, or nil if it isn't. A run that
// has said nothing yet is taken for as brittle as the most brittle server of its pool: it
// would get the requests of all nodes as soon as it is listed.
func (f *Fit) brittleOf(s *server) *rateNotice {
	if len(f.brittle.byRun) == 0 {
		return nil
	}
	if n := f.brittle.byRun[runOf(&s.Server)]; n != nil {
		if !n.Announced {
			return nil
		}
		return n
	}
	var least *rateNotice
	for _, other := range f.pools[s.Pool] {
		n := f.brittle.byRun[runOf(&other.Server)]
		if n != nil && n.Announced && (least == nil || n.PerSecond < least.PerSecond) {
			least = n
		}
	}
	if least == nil {
		return nil
	}
	f.setRateNow(f.brittle, runOf(&s.Server), least.ServerRate, "pool", s.Pool)
	return f.brittle.byRun[runOf(&s.Server)]
}

// roomOf returns this node's part of a brittle server's room.
func (f *Fit) roomOf(s *server, now tarragondeal.Instant) int {
	fleet := f.currentFleet(now)
	if slots := s.slots(); s.room.at != f.fleetAt || s.room.slots != slots {
		s.room = nodeRoom{requests: tdshare.Part(fleet, string(s.ID), max(1, int(roomShare*float64(slots)))), slots: slots, at: f.fleetAt}
	}
	return s.room.requests
}

// hasRoom reports whether a request may be sent to a server, which is always so unless the
// server is brittle. Then this node's requests there, and those of all nodes as far as it
// knows, must be fewer than what the server runs at once: a request that waits there takes
// the place of one that would be rejected. Beyond its part a node may send a request now
// and then, as one rejection in some time does no harm.
func (f *Fit) hasRoom(a *tarragondeal.Ask, s *server, now tarragondeal.Instant) bool {
	n := f.brittleOf(s)
	if n == nil {
		return true
	}
	if f.totalUse(s, now).running >= s.slots() {
		return false
	}
	if f.moreUrgentWaits(s.Pool, a.Tier) && tdshare.SlotAt(f.currentFleet(now).Now)%anyTierSlots != 0 {
		return false
	}
	if s.own.running < f.roomOf(s, now) {
		return true
	}
	return n.share.Available(f.currentFleet(now), rejectionShare*n.PerSecond)
}

// takeRoom records that a request is sent to a server, if the server is brittle.
func (f *Fit) takeRoom(a *tarragondeal.Ask, s *server, now tarragondeal.Instant) {
	n := f.brittleOf(s)
	if n == nil {
		return
	}
	part := f.roomOf(s, now)
	if s.own.running > part {
		n.share.Take()
	}
	f.Log.Info().Str("request", string(a.Request)).Int("attempt", a.Attempt).Int("tier", a.Tier).Str("server", string(s.ID)).
		Float64("rejections", n.PerSecond).Int("part", part).Int("own", s.own.running).Int("all", f.totalUse(s, now).running).
		Msg("request sent to a brittle server")
}

// recordRejection records that a server rejected a request. From a brittle one it shows that
// its room is smaller than its slots.
func (f *Fit) recordRejection(open *openGrant, now tarragondeal.Instant) {
	n := f.brittleOf(open.server)
	if n == nil {
		return
	}
	open.server.backoffUntil = max(open.server.backoffUntil, now.Add(rejectionBackoff))
	f.Log.Info().Str("request", string(open.request.ask.Request)).Str("server", string(open.server.ID)).Float64("rejections", n.PerSecond).
		Int("own", open.server.own.running).Int("all", f.totalUse(open.server, now).running).Dur("for", rejectionBackoff).
		Msg("rejected by a brittle server; it gets no requests for a while")
}

// isBrittle reports whether a request could only be sent to brittle servers.
func (f *Fit) isBrittle(a *tarragondeal.Ask) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := false
	for _, pool := range a.Pools {
		for _, s := range f.pools[pool] {
			if !eligible(a, s) {
				continue
			}
			if f.brittleOf(s) == nil {
				return false
			}
			found = true
		}
	}
	return found
}
