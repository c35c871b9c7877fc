package tdfit

import (
	"time"

	"tarragondeal"
)

const (
	// leavingTTL is how long it is known that a server is leaving that is not listed.
	// The entry of the same run may come back.
	leavingTTL = time.Minute
	// maxLeavingAge is the age from which a peer's notice of a run that is not listed is
	// ignored: nodes that repeat it to one another would keep it for ever.
	maxLeavingAge = time.Hour
	// startMargin bounds the difference between the nodes' clock and that of a server.
	startMargin = time.Second
)

// leavingNotice is what a run of a backend server said of its leaving, in an answer or in
// its entry. It holds for the rest of the run, whatever the entry says later.
type leavingNotice struct {
	at         tarragondeal.Instant // When a node first learned of it.
	answeredAt tarragondeal.Instant // When this node last received an answer that says so; zero if it never did.
	listedAt   tarragondeal.Instant // When the run was last known to be listed.
}

// ObserveLeaving implements tarragondeal.ServerNotices.
func (f *Fit) ObserveLeaving(s tarragondeal.Server, request tarragondeal.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, now := runOf(&s), f.Clock.Now()
	if f.leaving[run] == nil {
		f.setLeaving(run, now, "request", string(request))
	}
	f.leaving[run].answeredAt = now
}

// setLeaving records that a run of a server is leaving, and logs it with its source.
func (f *Fit) setLeaving(run serverRun, at tarragondeal.Instant, sourceKind, source string) {
	now := f.Clock.Now()
	f.evictLeaving(now)
	f.leaving[run] = &leavingNotice{at: at, listedAt: now}
	listed := ""
	if s := f.listedRun(run); s != nil {
		s.leaving, listed = true, string(s.State)
	}
	f.Scope.Tagged(map[string]string{"source": sourceKind}).Counter("leaving").Inc(1)
	f.Log.Info().Str(sourceKind, source).Str("server", string(run.id)).Int64("started", run.started).Str("listed", listed).
		Dur("age", now.Sub(at)).Msg("server says that it is leaving")
}

// inheritLeaving records that a run of a server is leaving if an answer said so after the
// run had started, when this node still had the run before it listed.
func (f *Fit) inheritLeaving(before, s *tarragondeal.Server, now tarragondeal.Instant) {
	n := f.leaving[runOf(before)]
	if n == nil || n.answeredAt == 0 || s.StartedAt.IsZero() || f.leaving[runOf(s)] != nil {
		return
	}
	if f.Wall().Add(-now.Sub(n.answeredAt)).After(s.StartedAt.Add(startMargin)) {
		f.setLeaving(runOf(s), n.answeredAt, "previousRun", string(s.ID))
	}
}

// recordListedLeaving records the runs whose entries say that they are leaving: a late
// write may list them as live again. Without a start time the entry may be a new run's.
func (f *Fit) recordListedLeaving(list []tarragondeal.Server, now tarragondeal.Instant) {
	for n := range list {
		s := &list[n]
		if run := runOf(s); s.State == tarragondeal.VMLeaving && run.started != 0 && f.leaving[run] == nil {
			f.setLeaving(run, now, "store", "")
		}
	}
}

// listedRun returns the server that is listed if it is the given run, or nil.
func (f *Fit) listedRun(run serverRun) *server {
	if s := f.servers[run.id]; s != nil && runOf(&s.Server) == run {
		return s
	}
	return nil
}

// evictLeaving deletes the notices of runs that have not been listed for long.
func (f *Fit) evictLeaving(now tarragondeal.Instant) {
	for run, n := range f.leaving {
		if f.listedRun(run) != nil {
			n.listedAt = now
		} else if now.Sub(n.listedAt) > leavingTTL {
			delete(f.leaving, run)
		}
	}
}

// newLeaving returns the notices that are not in sent, and adds them.
func (f *Fit) newLeaving(sent map[serverRun]bool, now tarragondeal.Instant) []*Leaving {
	var out []*Leaving
	for run, n := range f.leaving {
		if sent[run] {
			continue
		}
		sent[run] = true
		out = append(out, &Leaving{Server: string(run.id), StartedMillis: run.started, AgeMillis: uint32(max(0, now.Sub(n.at).Milliseconds()))})
	}
	for run := range sent {
		if f.leaving[run] == nil {
			delete(sent, run)
		}
	}
	return out
}

// receiveLeaving records the notices that a peer knows.
func (f *Fit) receiveLeaving(from tarragondeal.NodeID, leaving []*Leaving, now tarragondeal.Instant) {
	for _, m := range leaving {
		run := serverRun{id: tarragondeal.ServerID(m.GetServer()), started: m.GetStartedMillis()}
		age := time.Duration(m.GetAgeMillis()) * time.Millisecond
		if f.leaving[run] == nil && (age <= maxLeavingAge || f.listedRun(run) != nil) {
			f.setLeaving(run, now.Add(-age), "peer", string(from))
		}
	}
}
