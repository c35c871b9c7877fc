package tdfit

import (
	"slices"

	"tarragondeal"
)

// ObserveInvalid implements tarragondeal.ServerNotices. It logs the first invalid notice of
// each kind in a run of a server: the server may send it with every answer.
func (f *Fit) ObserveInvalid(s tarragondeal.Server, request tarragondeal.RequestID, k tarragondeal.NoticeKind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Scope.Tagged(map[string]string{"kind": string(k)}).Counter("invalidNotices").Inc(1)
	run := runOf(&s)
	if slices.Contains(f.invalid[run], k) {
		return
	}
	for known := range f.invalid {
		if known != run && f.listedRun(known) == nil {
			delete(f.invalid, known)
		}
	}
	f.invalid[run] = append(f.invalid[run], k)
	f.Log.Warn().Err(err).Str("request", string(request)).Str("server", string(s.ID)).Int64("started", run.started).
		Str("kind", string(k)).Msg("invalid notice of a server ignored; later ones of its run are not logged")
}
