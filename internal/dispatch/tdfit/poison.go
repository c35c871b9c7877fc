package tdfit

import (
	"tarragondeal"
	"tarragondeal/internal/dispatch/tdpoison"
)

// traitsOf returns what a request to a pool has in common with others: its
// fingerprint, and the parts of its prompt but for the last one, which belongs to the
// request or its session.
func traitsOf(a *tarragondeal.Ask, pool string) []tdpoison.Trait {
	out := make([]tdpoison.Trait, 0, len(a.Parts)+1)
	if a.Fingerprint != 0 {
		out = append(out, tdpoison.Trait{Kind: tdpoison.KindRequest, Pool: pool, ID: a.Fingerprint})
	}
	for n := range len(a.Parts) - 1 {
		out = append(out, tdpoison.Trait{Kind: tdpoison.KindPart, Pool: pool, ID: a.Parts[n].ID})
	}
	return out
}

func poisonRun(s *server) tdpoison.Run {
	run := runOf(&s.Server)
	return tdpoison.Run{Server: run.id, Started: run.started}
}

// checkPoison returns a refusal if requests like this one have crashed servers of a
// pool.
func (f *Fit) checkPoison(a *tarragondeal.Ask, pool string) error {
	if f.Poison.Empty() {
		return nil
	}
	v := f.Poison.Check(traitsOf(a, pool))
	if !v.Refused {
		return nil
	}
	f.Log.Info().Str("request", string(a.Request)).Int("attempt", a.Attempt).Str("pool", pool).Stringer("trait", v.Trait.Kind).
		Str("id", hexID(v.Trait.ID)).Int("crashed", v.Crashes).Dur("retryAfter", v.After).Msg("request refused: servers crashed under requests like it")
	return refused(tarragondeal.ReasonQuarantined, "backend servers crashed under requests like this one", v.After)
}

// recordSilence records that a request got no complete answer although its connection did
// not break. A server that said that it leaves may end before it answers.
func (f *Fit) recordSilence(open *openGrant, now tarragondeal.Instant) {
	run := runOf(&open.server.Server)
	if f.leaving[run] != nil {
		return
	}
	b := tdpoison.Break{Run: poisonRun(open.server), Sent: open.sent, At: now}
	f.Poison.Silent(traitsOf(open.request.ask, open.server.Pool), b, f.listedRun(run) == nil)
}

// recordRunEnded records that a run of a server is no longer listed.
func (f *Fit) recordRunEnded(s *server) {
	if f.leaving[runOf(&s.Server)] != nil {
		f.Poison.Left(poisonRun(s))
		return
	}
	f.Poison.Ended(poisonRun(s))
}
