package tdorigin

import (
	"slices"
	"time"

	"tarragondeal"
)

// historyTTL is how long software is kept after it was listed last.
const historyTTL = 10 * time.Minute

// history holds which software was listed.
type history struct {
	last     map[tarragondeal.Software]tarragondeal.Instant // When each was listed last, as of the latest change.
	present  map[tarragondeal.Software]bool                 // What is listed.
	complete bool                                           // From is set.
	from     tarragondeal.Instant                           // All software that was listed since then is in last.
	before   tarragondeal.Instant                           // What from will be at the latest once it is set.
	changes  uint64                                         // Number of changes that peers must learn of.
}

// newHistory returns a history without software. If always is set, no software was
// ever listed before.
func newHistory(always bool) history {
	h := history{before: farFuture, last: make(map[tarragondeal.Software]tarragondeal.Instant), present: make(map[tarragondeal.Software]bool)}
	if always {
		h.complete, h.from = true, farPast
	}
	return h
}

// farPast is earlier than any time that matters, and farFuture later.
const (
	farPast   = -tarragondeal.Instant(1 << 60)
	farFuture = tarragondeal.Instant(1 << 60)
)

// set replaces the software that is listed.
func (h *history) set(list []tarragondeal.Server, now tarragondeal.Instant) {
	present := make(map[tarragondeal.Software]bool)
	for n := range list {
		present[list[n].Software()] = true
	}
	for s := range h.present {
		h.last[s] = now
		if !present[s] {
			h.changes++
		}
	}
	for s := range present {
		h.last[s] = now
		if !h.present[s] {
			h.changes++
		}
	}
	h.present = present
	if !h.complete {
		h.complete, h.from = true, min(now, h.before)
		h.changes++
	}
	for s, at := range h.last {
		if !present[s] && now.Sub(at) > historyTTL {
			delete(h.last, s)
		}
	}
}

// add adds software that was listed, and when each was listed last.
func (h *history) add(listed map[tarragondeal.Software]tarragondeal.Instant) {
	for s, at := range listed {
		if known, ok := h.last[s]; !ok || at > known {
			h.last[s] = at
			if !ok {
				h.changes++
			}
		}
	}
}

// merge adds what a peer knows. From is since when that is complete.
func (h *history) merge(listed map[tarragondeal.Software]tarragondeal.Instant, from tarragondeal.Instant) {
	h.add(listed)
	// Only the list of this node says what has been listed since the message.
	if h.complete && from < h.from {
		h.from = from
		h.changes++
	}
}

// extend records that all software that was listed since from is known.
func (h *history) extend(from tarragondeal.Instant) {
	h.before = min(h.before, from)
	if h.complete && from < h.from {
		h.from = from
		h.changes++
	}
}

// forgetBefore records that it isn't known what was listed before now.
func (h *history) forgetBefore(now tarragondeal.Instant) {
	h.from = now
	h.changes++
}

// only returns the software of a pool if no other was listed in the given time.
func (h *history) only(pool string, age time.Duration, now tarragondeal.Instant) (tarragondeal.Software, bool) {
	since := now.Add(-age)
	if !h.complete || h.from > since {
		return tarragondeal.Software{}, false
	}
	var out tarragondeal.Software
	n := 0
	for s, at := range h.last {
		if s.Pool == pool && (h.present[s] || at >= since) {
			out = s
			n++
		}
	}
	return out, n == 1 && out.Known()
}

// completeFor returns for how long all software that was listed is known, up to
// historyTTL.
func (h *history) completeFor(now tarragondeal.Instant) time.Duration {
	if !h.complete {
		return 0
	}
	return min(historyTTL, now.Sub(max(h.from, now.Add(-historyTTL))))
}

// listed returns the versions of pools that were listed within recordTTL, sorted.
func (h *history) listed(pools []string, now tarragondeal.Instant) []string {
	var out []string
	for s, at := range h.last {
		if slices.Contains(pools, s.Pool) && (h.present[s] || now.Sub(at) <= recordTTL) {
			out = append(out, s.Version)
		}
	}
	slices.Sort(out)
	return out
}
