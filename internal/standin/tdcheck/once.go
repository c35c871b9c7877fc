package tdcheck

import (
	"slices"
	"time"

	"tarragondeal"
)

// Answers finds successful answers that are incomplete or belong to another
// request. Answers that broke off are ignored, as their callers saw the error.
func Answers(h History) []Violation {
	c := collector{invariant: "a caller gets the whole answer to its own request"}
	for _, q := range h.Requests {
		if q.Status != 200 || q.Broken || q.Cancelled {
			continue
		}
		if !q.Matches {
			c.add("request %s got another answer", q.ID)
		} else if !q.Complete {
			c.add("request %s got a short answer that looks whole", q.ID)
		}
	}
	return c.found
}

// NotRun finds refusals that say notRun although the request ran. The runs of
// a non-idempotent request and of its repeats can't be distinguished, so these
// count only if all of them were answered with notRun.
func NotRun(h History) []Violation {
	c := collector{invariant: "a refusal that says notRun is true"}
	byID := requestsByID(h)
	ran := make(map[string]string)
	for _, r := range h.Runs {
		ran[r.Request] = r.Server
		if q, ok := byID[r.Request]; ok && !q.Idempotent {
			ran[q.Body] = r.Server
		}
	}
	otherOutcome := make(map[string]bool) // Bodies of which at least one request was not answered with notRun.
	for _, q := range h.Requests {
		otherOutcome[q.Body] = otherOutcome[q.Body] || q.Ran != tarragondeal.RanNot
	}
	for _, q := range h.Requests {
		name := q.ID
		if !q.Idempotent {
			name = q.Body
		}
		server, ok := ran[name]
		if ok && q.Ran == tarragondeal.RanNot && (q.Idempotent || !otherOutcome[q.Body]) {
			c.add("request %s was said not to have run and ran on %s", q.ID, server)
		}
	}
	return c.found
}

// AtMostOnce finds non-idempotent requests that ran more than once. Repeats by
// the caller count as the same request.
func AtMostOnce(h History) []Violation {
	c := collector{invariant: "a non-idempotent request runs at most once"}
	byID := requestsByID(h)
	runs := make(map[string]int)
	for _, r := range h.Runs {
		if q, ok := byID[r.Request]; ok && !q.Idempotent {
			runs[q.Body]++
		}
	}
	for body, n := range runs {
		if n > 1 {
			c.add("%s ran %d times", body, n)
		}
	}
	return c.found
}

// OrderSenders finds orders of one duty that a receiver accepted from an older
// holder after one from a newer holder, and holders that used the same fencing
// token.
func OrderSenders(h History) []Violation {
	c := collector{invariant: "the platform gets no orders from two processes in charge"}
	type newest struct {
		fence  uint64
		sender string
	}
	duties := make(map[string]newest)
	for _, o := range sorted(h.Orders, func(o Order) time.Time { return o.At }) {
		if !o.Accepted {
			continue
		}
		latest := duties[o.Duty]
		switch {
		case o.Fence < latest.fence:
			c.add("%s took an order of %s with token %d after one of %s with token %d", o.Receiver, o.Sender, o.Fence, latest.sender, latest.fence)
		case o.Fence == latest.fence && latest.sender != "" && o.Sender != latest.sender:
			c.add("%s and %s sent orders with the same token %d", latest.sender, o.Sender, o.Fence)
		default:
			duties[o.Duty] = newest{fence: o.Fence, sender: o.Sender}
		}
	}
	return c.found
}

// Reports finds windows that were reported with different figures. It also
// checks the senders and fencing tokens of all accepted reports as OrderSenders
// does for the orders of one duty.
func Reports(h History) []Violation {
	c := collector{invariant: "no window is reported twice with different figures, nor by two processes in charge"}
	figures := make(map[time.Time]string)
	var orders []Order
	for _, r := range sorted(h.Reports, func(r Report) time.Time { return r.At }) {
		if !r.Accepted {
			continue
		}
		if f, ok := figures[r.Window]; ok && f != r.Figures {
			c.add("window %s was reported with other figures by %s", r.Window.Format(time.RFC3339), r.Sender)
		}
		figures[r.Window] = r.Figures
		orders = append(orders, Order{Receiver: "the usage sink", Duty: "usage", Sender: r.Sender, Fence: r.Fence, At: r.At, Accepted: true})
	}
	for _, v := range OrderSenders(History{Orders: orders}) {
		c.add("%s", v.Detail)
	}
	return c.found
}

// Billing compares the tokens billed to each workspace with those its callers
// received. It returns the largest shortfall and the largest excess of any
// workspace, in tokens.
func Billing(h History, billed map[string]int64) (short, excess int64) {
	got := make(map[string]int64)
	for _, q := range h.Requests {
		got[q.Workspace] += int64(q.Tokens)
	}
	names := make([]string, 0, len(got)+len(billed))
	for name := range got {
		names = append(names, name)
	}
	for name := range billed {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		short = max(short, got[name]-billed[name])
		excess = max(excess, billed[name]-got[name])
	}
	return short, excess
}
