package tdhealth

import (
	"time"

	"tarragondeal"
)

const (
	firstProbe = 200 * time.Millisecond
	maxProbe   = 5 * time.Second
	// failsDown is how many probes in a row must fail to take a server down of
	// which no request has told an error.
	failsDown = 2
)

// Status is whether one server may be given work. It is not safe for
// concurrent use.
type Status struct {
	down    bool
	since   tarragondeal.Instant // Of the error that took it down.
	leaving bool
	listed  bool // Leaving, by the platform's list.
	refused bool // It refused a request; not yet heard of since.
	wait    time.Duration
	next    tarragondeal.Instant
	fails   int
	probing bool
	began   tarragondeal.Instant
	again   bool // Another probe was asked for while one ran.
}

// Usable reports whether requests may wait for the server.
func (s *Status) Usable() bool { return !s.down && !s.leaving && !s.listed }

// Grantable reports whether the server may be given work now. After a
// refusal it waits for the next probe.
func (s *Status) Grantable() bool { return s.Usable() && !s.refused }

// Leaving reports whether the server is known to be leaving.
func (s *Status) Leaving() bool { return s.leaving || s.listed }

// Listed takes what the platform's list says.
func (s *Status) Listed(leaving bool) { s.listed = leaving }

// Crashed takes an error that broke a request at the server. It reports
// whether the server was taken to be up until now.
func (s *Status) Crashed(now tarragondeal.Instant) bool {
	first := !s.down
	s.down = true
	s.fail(now)
	return first
}

// Refused takes a request that the server would not take, or that could not
// be sent to it.
func (s *Status) Refused(now tarragondeal.Instant) {
	s.refused = true
	s.fail(now)
}

func (s *Status) fail(now tarragondeal.Instant) {
	s.since = now
	if s.probing {
		// The probe that runs may have asked the server before this error, so
		// its result would not tell.
		s.again = true
		return
	}
	s.wait = 0
	s.next = now
}

// Due reports whether a probe should begin now, and counts it as begun.
func (s *Status) Due(now tarragondeal.Instant, every time.Duration) bool {
	if s.probing || now < s.next {
		return false
	}
	s.probing, s.began, s.again = true, now, false
	s.next = now.Add(every)
	return true
}

// Probed takes the result of the probe that runs. A probe that began before
// the last error brings no server back.
func (s *Status) Probed(now tarragondeal.Instant, ok, leaving bool) {
	fresh := s.began >= s.since && !s.again
	s.probing = false
	if s.again {
		s.again = false
		s.next = now
		return
	}
	if !ok {
		s.fails++
		s.down = s.down || s.fails >= failsDown
		s.wait = min(max(firstProbe, 2*s.wait), maxProbe)
		s.next = now.Add(s.wait)
		return
	}
	s.leaving, s.fails = leaving, 0
	if fresh {
		s.down, s.refused, s.wait = false, false, 0
	}
}
