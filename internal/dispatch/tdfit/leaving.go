package tdfit

import (
	"tarragondeal"
)

// leavingNotice is what a run of a backend server said of its leaving.
type leavingNotice struct {
	at tarragondeal.Instant // When a node first received an answer that says so.
}

// ObserveLeaving implements tarragondeal.ServerNotices.
func (f *Fit) ObserveLeaving(s tarragondeal.Server, request tarragondeal.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if run := runOf(&s); f.leaving[run] == nil {
		f.setLeaving(run, f.Clock.Now(), "request", string(request))
	}
}

// setLeaving records that a run of a server is leaving, and logs it with its source.
func (f *Fit) setLeaving(run serverRun, at tarragondeal.Instant, sourceKind, source string) {
	f.leaving[run] = &leavingNotice{at: at}
	listed := ""
	if s := f.servers[run.id]; s != nil && runOf(&s.Server) == run {
		listed = string(s.State)
	}
	f.Scope.Tagged(map[string]string{"source": sourceKind}).Counter("leaving").Inc(1)
	f.Log.Info().Str(sourceKind, source).Str("server", string(run.id)).Int64("started", run.started).Str("listed", listed).
		Dur("age", f.Clock.Now().Sub(at)).Msg("server says that it is leaving")
}
