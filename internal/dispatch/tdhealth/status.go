package tdhealth

import (
	"time"

	"tarragondeal"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed probe, which
	// doubles with each failure.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxFailedProbes is the number of successive failed probes at which a
	// server is marked down, even if no request reported an error.
	maxFailedProbes = 2
)

// Status tracks whether one server may be given requests, and when to probe it.
// It is not safe for concurrent use.
type Status struct {
	down          bool
	failedAt      tarragondeal.Instant // When the last request failed.
	leaving       bool
	listedLeaving bool // Leaving according to the platform's list.
	refused       bool // A request was refused or couldn't be sent since the last successful probe.
	backoff       time.Duration
	nextProbe     tarragondeal.Instant
	failedProbes  int
	probing       bool
	probeStart    tarragondeal.Instant
	reprobe       bool // A request failed while a probe ran, so another one is needed.
}

// Usable reports whether requests may wait for the server.
func (s *Status) Usable() bool { return !s.down && !s.leaving && !s.listedLeaving }

// Grantable reports whether the server may be given requests now. After a refusal
// it may not until a probe succeeds.
func (s *Status) Grantable() bool { return s.Usable() && !s.refused }

// Leaving reports whether the server is known to be leaving.
func (s *Status) Leaving() bool { return s.leaving || s.listedLeaving }

// SetListedLeaving sets whether the server is leaving according to the
// platform's list.
func (s *Status) SetListedLeaving(leaving bool) { s.listedLeaving = leaving }

// Crashed records that the server broke the connection of a request, and marks it
// down. It reports whether the server was up before.
func (s *Status) Crashed(now tarragondeal.Instant) bool {
	first := !s.down
	s.down = true
	s.fail(now)
	return first
}

// Refused records that the server refused a request, or that the request could
// not be sent to it.
func (s *Status) Refused(now tarragondeal.Instant) {
	s.refused = true
	s.fail(now)
}

func (s *Status) fail(now tarragondeal.Instant) {
	s.failedAt = now
	if s.probing {
		// The running probe may have reached the server before this error, so
		// its result doesn't count.
		s.reprobe = true
		return
	}
	s.backoff = 0
	s.nextProbe = now
}

// Due reports whether a probe should begin now. If so, it records the start of the
// probe, and the caller must call Probed with its result.
func (s *Status) Due(now tarragondeal.Instant, every time.Duration) bool {
	if s.probing || now < s.nextProbe {
		return false
	}
	s.probing, s.probeStart, s.reprobe = true, now, false
	s.nextProbe = now.Add(every)
	return true
}

// Probed records the result of the running probe. A probe that began before the
// last error doesn't mark a server as up again.
func (s *Status) Probed(now tarragondeal.Instant, ok, leaving bool) {
	fresh := s.probeStart >= s.failedAt && !s.reprobe
	s.probing = false
	if s.reprobe {
		s.reprobe = false
		s.nextProbe = now
		return
	}
	if !ok {
		s.failedProbes++
		s.down = s.down || s.failedProbes >= maxFailedProbes
		s.backoff = min(max(minBackoff, 2*s.backoff), maxBackoff)
		s.nextProbe = now.Add(s.backoff)
		return
	}
	s.leaving, s.failedProbes = leaving, 0
	if fresh {
		s.down, s.refused, s.backoff = false, false, 0
	}
}
