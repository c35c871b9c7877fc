// Package tdload reconciles a backend server's delayed load reports with the
// grants of its owner. Work that the owner granted is not counted twice, and
// external work, which the owner did not grant, is counted once.
//
// # Usage
//
//	l := tdload.New()
//	l.Start(ticket, now)
//	l.End(ticket, now)
//	l.Report(now, load)
//	capacity := slots - l.External()
package tdload

import (
	"time"

	"tarragondeal"
)

const (
	// ageTolerance is the maximum error of a report's age, plus the time that
	// a request takes from its grant to the server.
	ageTolerance = 250 * time.Millisecond
	// endedRetention is how long ended grants are kept. It is the maximum age
	// of a report that can be reconciled.
	endedRetention = 10 * time.Second
)

// span is the time between the start and the end of a grant.
type span struct {
	start, end tarragondeal.Instant
}

// Ledger records the recent grants and load reports of one server. It is not
// safe for concurrent use.
type Ledger struct {
	open       map[uint64]tarragondeal.Instant
	ended      []span // In the order in which they ended.
	external   [2]int // External work in the last two reports, newest first.
	reportedAt tarragondeal.Instant
	hasReport  bool
	report     tarragondeal.Load
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{open: make(map[uint64]tarragondeal.Instant)} }

// Start records a grant. It ignores a ticket that is already open.
func (l *Ledger) Start(ticket uint64, now tarragondeal.Instant) {
	if _, ok := l.open[ticket]; !ok {
		l.open[ticket] = now
	}
}

// End records the end of a grant. It ignores a ticket that isn't open.
func (l *Ledger) End(ticket uint64, now tarragondeal.Instant) {
	start, ok := l.open[ticket]
	if !ok {
		return
	}
	delete(l.open, ticket)
	l.ended = append(l.ended, span{start: start, end: now})
}

// Report records a load report that was received at now. It ignores a report that
// isn't newer than the last one.
func (l *Ledger) Report(now tarragondeal.Instant, r tarragondeal.Load) {
	l.prune(now)
	at := now.Add(-r.Age)
	if l.hasReport && at <= l.reportedAt {
		return
	}
	l.reportedAt, l.report, l.hasReport = at, r, true
	l.external[1] = l.external[0]
	l.external[0] = max(0, r.Running+r.Queued-l.granted(at))
}

// granted returns the number of grants that the server may have counted at an
// instant, including those that began or ended within ageTolerance of it. If it
// is too high, the next report corrects it; if it were too low, a slot would stay
// idle.
func (l *Ledger) granted(at tarragondeal.Instant) int {
	n := 0
	for _, start := range l.open {
		if start <= at.Add(ageTolerance) {
			n++
		}
	}
	for _, s := range l.ended {
		if s.start <= at.Add(ageTolerance) && s.end >= at.Add(-ageTolerance) {
			n++
		}
	}
	return n
}

func (l *Ledger) prune(now tarragondeal.Instant) {
	n := 0
	for n < len(l.ended) && l.ended[n].end < now.Add(-endedRetention) {
		n++
	}
	l.ended = append(l.ended[:0], l.ended[n:]...)
}

// External returns the number of reported requests that the owner did not grant.
// An excess is counted only if two successive reports show it.
func (l *Ledger) External() int { return min(l.external[0], l.external[1]) }

// Last returns the last report and the instant that it describes, and reports
// whether there is one.
func (l *Ledger) Last() (tarragondeal.Load, tarragondeal.Instant, bool) {
	return l.report, l.reportedAt, l.hasReport
}
