package tdfit

import (
	"slices"

	"tarragondeal"
)

// eligible reports whether a request may be sent to a server, apart from the
// server's present condition.
func eligible(a *tarragondeal.Ask, s *server) bool {
	if !s.isLive() || slices.Contains(a.Avoid, s.ID) {
		return false
	}
	if len(a.DataCentres) > 0 && !slices.Contains(a.DataCentres, s.DataCentre) {
		return false
	}
	return a.Software == nil || s.Software().Continues(*a.Software)
}

// refuseVersion returns a refusal if a request must go on at one version of the
// software and no server has it.
func (f *Fit) refuseVersion(a *tarragondeal.Ask) error {
	if a.Software == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, pool := range a.Pools {
		if slices.ContainsFunc(f.pools[pool], func(s *server) bool { return eligible(a, s) }) {
			return nil
		}
	}
	f.Log.Info().Str("request", string(a.Request)).Int("attempt", a.Attempt).Str("pool", a.Software.Pool).
		Str("version", a.Software.Version).Int("avoided", len(a.Avoid)).Msg("no server of the version that began the stream")
	return refused(tarragondeal.ReasonNoServerVersion, "no backend server has the version that began the stream; request it from its start", noServerRetryAfter)
}
