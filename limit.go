package tarragondeal

import "time"

// Limiter admits requests within the limits of workspaces, keys and routes,
// which apply to the whole fleet.
type Limiter interface {
	// Admit admits a request whose work is estimated at tokens. The error is
	// a *RefusedError with ReasonLimit. The caller calls release once, at the
	// request's end, with the number of tokens used. The key is nil on open
	// routes.
	Admit(ws *Workspace, key *Key, route *Route, tokens int) (release func(tokens int), err error)
}

// ServerRate is a rate of requests of all nodes together that a backend server
// announces in an answer.
type ServerRate struct {
	Announced bool    // The answer announces a rate.
	PerSecond float64 // Requests per second, not negative.
}

// ServerLoad is the load that a backend server reports in an answer.
type ServerLoad struct {
	Running int // Requests that it runs.
	Waiting int // Requests that wait for a slot.
	Slots   int // Requests that it runs at once.
	// Slowdown is how long work takes on the server's machine at the moment of the report,
	// relative to the usual time: 1 is as usual. It is zero if the server doesn't report it.
	Slowdown float64
}

// NoticeKind is a kind of what backend servers say of themselves.
type NoticeKind string

// The kinds of notices.
const (
	NoticeLimit   NoticeKind = "limit"
	NoticeBrittle NoticeKind = "brittle"
	NoticeLeaving NoticeKind = "leaving"
	NoticePause   NoticeKind = "pause"
	NoticeLoad    NoticeKind = "load"
)

// ServerNotices records what backend servers say of themselves in their answers.
type ServerNotices interface {
	// ObserveLimit records the rate that s accepts, from an answer of s to a request that was sent
	// at sent. An answer without a limit ends the one that was announced before
	// the request was sent.
	ObserveLimit(s Server, request RequestID, l ServerRate, sent Instant)
	// ObserveBrittle records how many requests a second s can reject before it fails, as
	// ObserveLimit does with limits.
	ObserveBrittle(s Server, request RequestID, rejects ServerRate, sent Instant)
	// ObserveLeaving records an answer of s that says that s is leaving.
	ObserveLeaving(s Server, request RequestID)
	// ObservePause records a rejection by s, which accepts no request of this node for d. If
	// another node connected this one to s, it is that node's requests that s doesn't
	// accept; through is empty otherwise.
	ObservePause(s Server, request RequestID, d time.Duration, through NodeID)
	// ObserveLoad records the load that s reports in an answer to a request that was sent at
	// sent.
	ObserveLoad(s Server, request RequestID, l ServerLoad, sent Instant)
	// ObserveEvent records that an event of a stream of s came pause after the one before.
	ObserveEvent(s Server, request RequestID, pause time.Duration)
	// ObserveInvalid records that a notice in an answer of s can't be read or may not be
	// its own. It binds nothing.
	ObserveInvalid(s Server, request RequestID, k NoticeKind, err error)
}
