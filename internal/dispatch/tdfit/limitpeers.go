package tdfit

import (
	"time"

	"tarragondeal"
)

// limitRefresh is how much later than the last one sent to a peer an unchanged limit
// must have been announced to be sent again.
const limitRefresh = 500 * time.Millisecond

// sentLimit is a limit as last sent to a peer.
type sentLimit struct {
	tarragondeal.ServerLimit
	at tarragondeal.Instant
}

// changedLimits returns the limits that differ from the last ones sent, or that
// were announced again since, and updates those.
func (f *Fit) changedLimits(last map[serverRun]sentLimit, now tarragondeal.Instant) []*Limit {
	var out []*Limit
	for run, l := range f.limits {
		before, known := last[run]
		if known && before.ServerLimit == l.ServerLimit && l.at.Sub(before.at) < limitRefresh {
			continue
		}
		last[run] = sentLimit{ServerLimit: l.ServerLimit, at: l.at}
		m := &Limit{Server: string(run.id), StartedMillis: run.started, AgeMillis: uint32(max(0, now.Sub(l.at).Milliseconds()))}
		if l.Announced {
			m.PerSecond = &l.PerSecond
		}
		out = append(out, m)
	}
	for run := range last {
		if f.limits[run] == nil {
			delete(last, run)
		}
	}
	return out
}

// receiveLimits adopts the limits of a peer that were announced later than the ones
// known here.
func (f *Fit) receiveLimits(from tarragondeal.NodeID, limits []*Limit, now tarragondeal.Instant) {
	for _, m := range limits {
		run := serverRun{id: tarragondeal.ServerID(m.GetServer()), started: m.GetStartedMillis()}
		at := now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond)
		l := tarragondeal.ServerLimit{Announced: m.PerSecond != nil, PerSecond: m.GetPerSecond()}
		known := f.limits[run]
		if known == nil && !l.Announced || known != nil && at <= known.at || now.Sub(at) > limitTTL && !l.Announced {
			continue
		}
		f.setLimit(run, l, at, "peer", string(from))
	}
}
