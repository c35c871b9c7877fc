package tdadmit

import "time"

const (
	// rejectingTime is how long after a rejection a pool of plain servers is taken for full.
	rejectingTime = 3 * time.Second
	// spreadShare is the longest time, as a share of its target, by which a request is sent
	// later so that requests which come to all nodes at one moment don't all meet one queue.
	spreadShare = 0.4
	// reportAge is how old a report may be that says that a server has room.
	reportAge = 100 * time.Millisecond
)

// Plain is what a node knows of a pool of plain servers.
type Plain struct {
	Rejected time.Duration // Since a server rejected a request of this node; negative if none did.
	// RoomAge is the age of the latest report of a server that has slots free and no requests
	// that wait; negative if there is none.
	RoomAge time.Duration
}

// Spread returns the longest time for which a request to plain servers is held back while they
// reject requests. It is sent after a random part of it.
func Spread(target time.Duration, p Plain) time.Duration {
	switch {
	case target <= 0 || p.Rejected < 0 || p.Rejected > rejectingTime:
		return 0
	case p.RoomAge >= 0 && p.RoomAge <= reportAge:
		return 0
	}
	return time.Duration(spreadShare * float64(target))
}
