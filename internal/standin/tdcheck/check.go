package tdcheck

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"tarragondeal"
)

// Check checks one invariant.
type Check struct {
	Name string
	Run  func(History) []Violation
}

// Checks returns all checks.
func Checks() []Check {
	return []Check{
		{"no inversion", Inversions},
		{"no starvation", Starvation},
		{"permitted data centre", DataCentres},
		{"valid key", Workspaces},
		{"no key at a backend server", Keys},
		{"withdrawal", Withdrawals},
		{"one order sender", OrderSenders},
		{"one report", Reports},
		{"complete answer", Answers},
		{"accurate notRun", NotRun},
		{"at most once", AtMostOnce},
		{"crashing request", CrashingRequests},
		{"leaving servers", LeavingServers},
		{"planned stops", Stops},
		{"configuration never reverts", Reversals},
	}
}

// All runs every check and returns all violations.
func All(h History) []Violation {
	var out []Violation
	for _, c := range Checks() {
		out = append(out, c.Run(h)...)
	}
	return out
}

// shedCodes are the refusals caused by a lack of capacity. Only these are
// subject to the priority of tiers.
var shedCodes = []string{
	string(tarragondeal.ReasonOverload),
	string(tarragondeal.ReasonDeadline),
}

// Inversions finds priority inversions: requests that were shed although a
// request of a lower tier, which had arrived by then, was started later in a
// data centre and pool where the shed one could have run. Requests at a paused
// node are ignored.
func Inversions(h History) []Violation {
	c := collector{invariant: "no higher tier is shed for a lower one"}
	byID := requestsByID(h)
	runs := slices.Clone(h.Runs)
	slices.SortFunc(runs, func(a, b Run) int { return a.Started.Compare(b.Started) })
	for _, q := range h.Requests {
		if !slices.Contains(shedCodes, q.Code) || q.duringPause(h.Pauses) {
			continue
		}
		first, _ := slices.BinarySearchFunc(runs, q.Ended, func(r Run, t time.Time) int { return r.Started.Compare(t) })
		for _, r := range runs[first:] {
			low, ok := byID[r.Request]
			if !ok || low.Tier <= q.Tier || low.Sent.After(q.Ended) || r.Started.Equal(q.Ended) {
				continue
			}
			if slices.Contains(q.Permitted, r.DataCentre) && slices.Contains(q.Pools, r.Pool) {
				c.add("request %s of tier %d was shed, %s of tier %d started %s later on %s",
					q.ID, q.Tier, low.ID, low.Tier, r.Started.Sub(q.Ended), r.Server)
				break
			}
		}
	}
	return c.found
}

const (
	// starvationWindow is the longest time without an answer for a class whose
	// callers keep sending requests.
	starvationWindow = 10 * time.Second
	// starvationMinRequests is the number of requests in a window from which
	// on a class without an answer counts as starved.
	starvationMinRequests = 20
)

// Starvation finds windows in which a class got requests and no answer.
func Starvation(h History) []Violation {
	c := collector{invariant: "no class starves"}
	type window struct{ requests, served int }
	classes := make(map[string]map[time.Time]*window)
	for _, q := range h.Requests {
		if q.Cancelled || (q.Refused() && !slices.Contains(shedCodes, q.Code)) {
			continue
		}
		at := q.Sent.Truncate(starvationWindow)
		if classes[q.Class] == nil {
			classes[q.Class] = make(map[time.Time]*window)
		}
		w := classes[q.Class][at]
		if w == nil {
			w = &window{}
			classes[q.Class][at] = w
		}
		w.requests++
		if q.Status == http.StatusOK && q.Complete {
			w.served++
		}
	}
	for class, windows := range classes {
		for at, w := range windows {
			if w.requests >= starvationMinRequests && w.served == 0 {
				c.add("class %s asked %d times from %s on and got no answer", class, w.requests, at.Format(time.RFC3339))
			}
		}
	}
	return c.found
}

// DataCentres finds runs outside the permitted data centres.
func DataCentres(h History) []Violation {
	c := collector{invariant: "a request runs in its permitted place"}
	byID := requestsByID(h)
	for _, r := range h.Runs {
		if q, ok := byID[r.Request]; ok && !slices.Contains(q.Permitted, r.DataCentre) {
			c.add("request %s ran in %s", q.ID, r.DataCentre)
		}
	}
	for _, q := range h.Requests {
		if q.ServedIn != "" && !slices.Contains(q.Permitted, q.ServedIn) {
			c.add("request %s says it was served in %s", q.ID, q.ServedIn)
		}
	}
	return c.found
}

// Workspaces finds runs of requests without a valid key, except on open
// routes.
func Workspaces(h History) []Violation {
	c := collector{invariant: "a request runs only for the workspace whose key came with it"}
	byID := requestsByID(h)
	for _, r := range h.Runs {
		q, ok := byID[r.Request]
		if ok && q.Workspace == "" && !slices.Contains(h.OpenRoutes, q.Route) {
			c.add("request %s had no valid key and ran on %s", q.ID, r.Server)
		}
	}
	return c.found
}

// Keys finds keys in the data that backend servers received.
func Keys(h History) []Violation {
	c := collector{invariant: "no backend server sees a key"}
	keys := make(map[string]struct{})
	for _, q := range h.Requests {
		if q.KeyText != "" {
			keys[q.KeyText] = struct{}{}
		}
	}
	for _, r := range h.Runs {
		for key := range keys {
			if strings.Contains(r.Seen, key) {
				c.add("server %s saw a key with request %s", r.Server, r.Request)
			}
		}
	}
	return c.found
}

// notAdmittingCodes are the refusals of a node that admits no requests at all.
// They don't show whether the key is valid.
var notAdmittingCodes = []string{
	string(tarragondeal.ReasonNotReady),
	string(tarragondeal.ReasonLeaving),
}

// Withdrawals finds requests that were sent with a key after its withdrawal
// and WithdrawalBound, and were not refused for it.
func Withdrawals(h History) []Violation {
	c := collector{invariant: "a withdrawn key stops working"}
	for _, q := range h.Requests {
		if q.Withdrawn.IsZero() || !q.Sent.After(q.Withdrawn.Add(h.WithdrawalBound)) {
			continue
		}
		if q.Status != http.StatusUnauthorized && q.Status != 0 && !slices.Contains(notAdmittingCodes, q.Code) {
			c.add("request %s was answered with %d, %s after the withdrawal", q.ID, q.Status, q.Sent.Sub(q.Withdrawn))
		}
	}
	return c.found
}

// maxCrashes is the number of backend servers that one request may crash.
const maxCrashes = 2

// CrashingRequests finds requests that crash servers and were started more
// than maxCrashes times. Repeats by their callers count as the same request.
func CrashingRequests(h History) []Violation {
	c := collector{invariant: "one request takes down at most two backend servers"}
	crashes := make(map[string]int)
	for _, r := range h.Runs {
		if r.Crasher != "" && !r.Started.IsZero() {
			crashes[r.Crasher]++
		}
	}
	for name, n := range crashes {
		if n > maxCrashes {
			c.add("%s took %d down", name, n)
		}
	}
	return c.found
}

// LeavingServers finds runs that arrived at a leaving server later than
// LeavingBound after it began to leave.
func LeavingServers(h History) []Violation {
	c := collector{invariant: "a leaving backend server gets no new work"}
	since := make(map[string]time.Time, len(h.Leaving))
	for _, l := range h.Leaving {
		since[l.Server] = l.Since
	}
	for _, r := range h.Runs {
		left, ok := since[r.Server]
		if ok && r.At.After(left.Add(h.LeavingBound)) {
			c.add("server %s got request %s %s after it began to leave", r.Server, r.Request, r.At.Sub(left))
		}
	}
	return c.found
}

// Stops finds requests that a planned stop cut. Streams that ended with
// keyWithdrawn are ignored: the withdrawal of their key ended them, not the
// stop.
func Stops(h History) []Violation {
	c := collector{invariant: "a planned stop cuts no request"}
	for _, s := range h.Stops {
		if s.ExitCode != 0 {
			c.add("node %s ended with exit code %d", s.Node, s.ExitCode)
		}
		for _, q := range h.Requests {
			during := q.Node == s.Node && q.Sent.Before(s.To) && q.Ended.After(s.From)
			withdrawn := q.Code == string(tarragondeal.ReasonKeyWithdrawn)
			if during && !q.Cancelled && !withdrawn && (q.Broken || (q.Status == 0 && !q.Sent.After(s.From))) {
				c.add("request %s was cut by the stop of node %s", q.ID, s.Node)
			}
		}
	}
	return c.found
}

// Reversals finds nodes whose configuration version decreased.
func Reversals(h History) []Violation {
	c := collector{invariant: "an accepted configuration never reverts"}
	seen := slices.Clone(h.InForce)
	slices.SortStableFunc(seen, func(a, b InForce) int { return a.At.Compare(b.At) })
	highest := make(map[string]tarragondeal.Version)
	for _, f := range seen {
		if f.Version < highest[f.Node] {
			c.add("node %s went from version %d to %d", f.Node, highest[f.Node], f.Version)
		}
		highest[f.Node] = max(highest[f.Node], f.Version)
	}
	return c.found
}

func requestsByID(h History) map[string]*Request {
	out := make(map[string]*Request, len(h.Requests))
	for n := range h.Requests {
		out[h.Requests[n].ID] = &h.Requests[n]
	}
	return out
}

// sorted returns the values in the order of their times.
func sorted[T any](values []T, at func(T) time.Time) []T {
	out := slices.Clone(values)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(at(a).UnixNano(), at(b).UnixNano()) })
	return out
}
