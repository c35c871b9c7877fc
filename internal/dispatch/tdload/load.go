// Package tdload reconciles a backend server's lagging report of its load
// with the grants that its owner knows, so that the same work does not count
// twice and work that the owner did not grant counts once.
//
// # Usage
//
//	l := tdload.New()
//	l.Start(ticket, now)
//	l.End(ticket, now)
//	l.Report(now, load)
//	room := slots - l.Foreign()
package tdload

import (
	"time"

	"tarragondeal"
)

const (
	// tolerance is by how much a report's stated age may be wrong, plus the
	// time a request takes from its grant to the server.
	tolerance = 250 * time.Millisecond
	// memory is how long ended grants are remembered: the largest lag of a
	// report that is reconciled.
	memory = 10 * time.Second
)

// span is the time for which a grant was out.
type span struct {
	start, end tarragondeal.Instant
}

// Ledger is the history of one server's grants and its last reports. It is
// not safe for concurrent use.
type Ledger struct {
	open   map[uint64]tarragondeal.Instant
	ended  []span // In the order in which they ended.
	last   [2]int // Foreign work by the last two reports.
	at     tarragondeal.Instant
	known  bool
	report tarragondeal.Load
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{open: make(map[uint64]tarragondeal.Instant)} }

// Start notes a grant.
func (l *Ledger) Start(ticket uint64, now tarragondeal.Instant) {
	if _, ok := l.open[ticket]; !ok {
		l.open[ticket] = now
	}
}

// End notes the end of a grant.
func (l *Ledger) End(ticket uint64, now tarragondeal.Instant) {
	start, ok := l.open[ticket]
	if !ok {
		return
	}
	delete(l.open, ticket)
	l.ended = append(l.ended, span{start: start, end: now})
}

// Report takes a report that came in now.
func (l *Ledger) Report(now tarragondeal.Instant, r tarragondeal.Load) {
	l.forget(now)
	at := now.Add(-r.Age)
	if l.known && at <= l.at {
		return // No newer than the last one.
	}
	l.at, l.report, l.known = at, r, true
	l.last[1] = l.last[0]
	l.last[0] = max(0, r.Running+r.Queued-l.granted(at))
}

// granted is the number of grants that the server may have counted at an
// instant. Those that began or ended near it are included, since a place too
// many is noticed by the next report, and one too few would idle.
func (l *Ledger) granted(at tarragondeal.Instant) int {
	n := 0
	for _, start := range l.open {
		if start <= at.Add(tolerance) {
			n++
		}
	}
	for _, s := range l.ended {
		if s.start <= at.Add(tolerance) && s.end >= at.Add(-tolerance) {
			n++
		}
	}
	return n
}

func (l *Ledger) forget(now tarragondeal.Instant) {
	n := 0
	for n < len(l.ended) && l.ended[n].end < now.Add(-memory) {
		n++
	}
	l.ended = append(l.ended[:0], l.ended[n:]...)
}

// Foreign returns how much work the server reports that was not granted
// here. A surplus counts once two reports in a row show it.
func (l *Ledger) Foreign() int { return min(l.last[0], l.last[1]) }

// Last returns the last report and the instant that it describes.
func (l *Ledger) Last() (tarragondeal.Load, tarragondeal.Instant, bool) {
	return l.report, l.at, l.known
}
