package tdmesh

import (
	"time"

	"tarragondeal"
)

// maxQuietTime is the longest time between two states on a stream. A receiver takes a node
// for silent after a multiple of it.
const maxQuietTime = 250 * time.Millisecond

// quietState is what was sent last on a stream.
type quietState struct {
	sent   *State
	sentAt tarragondeal.Instant
}

// mayOmit reports whether a state need not be sent: it says nothing new, and the next one is
// early enough for the receiver to know that this node is alive. A state for which it returns
// false must be sent.
func (q *quietState) mayOmit(s *State, now tarragondeal.Instant, interval time.Duration) bool {
	if q.sent != nil && now.Add(interval).Sub(q.sentAt) <= maxQuietTime && s.repeats(q.sent) {
		return true
	}
	q.sent, q.sentAt = s, now
	return false
}

// repeats reports whether a state says nothing that an earlier one of the same stream does not,
// but for times and ages.
func (x *State) repeats(earlier *State) bool {
	for _, section := range x.GetSections() {
		if len(section.GetPayload()) > 0 {
			return false
		}
	}
	changes := len(x.GetBehind()) + len(x.GetAhead())
	if changes > 0 || x.GetCopy() != nil || x.GetPart() != nil || x.GetWhole() || x.GetMissed() {
		return false
	}
	return x.GetReady() == earlier.GetReady() && x.GetRevision() == earlier.GetRevision() && x.GetEra() == earlier.GetEra() && x.GetFence() == earlier.GetFence() && x.GetFollows() == earlier.GetFollows() &&
		x.GetSource() == earlier.GetSource() && x.GetLeaf() == earlier.GetLeaf() && x.GetFed() == earlier.GetFed() &&
		(x.CopyAgeMillis == nil) == (earlier.CopyAgeMillis == nil)
}
