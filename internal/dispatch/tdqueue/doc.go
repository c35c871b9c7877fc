// Package tdqueue holds the requests queued for and running on one backend
// server. It decides which request runs next and which one is refused. It
// uses no clock, goroutines or network of its own: callers pass the current
// time to every call that needs it.
//
// # Usage
//
//	q := tdqueue.New(tdqueue.Options{Bound: 1024})
//	q.SetCapacity(slots)
//	shed, refusal := q.Add(now, request)
//	for {
//		next, ok := q.Next(now)
//		if !ok {
//			break
//		}
//		// next now counts as running.
//	}
//	q.Progress(ticket, tokens)
//	q.End(now, ticket, tokens, true)
//
// # Order
//
// Tiers have strict priority: a request of a lower tier runs only when no
// request of a higher tier waits. Within a tier, the workspace with the least
// service, in tokens divided by its weight, goes first. The estimated work is
// charged at the start and replaced by the actual token count as progress is
// reported. Service that a workspace receives in a higher tier while it waits
// in a lower one is charged there too. Within a workspace, requests that can
// still meet their target go before those that have missed it, except that
// every sixteenth start takes one that has missed it.
//
// A tier with waiting requests, or with recent ones that are not queued after a
// refusal (see below), earns credit with every start of a higher tier: its share
// of the expected duration of that start. Once the credit covers the expected
// duration of its own next request, and that request has missed its target, it
// runs first, unless the next request of the higher tier would thereby miss its
// target. Once the credit is twice that duration, the request that has missed
// its target runs in any case, so no tier starves.
//
// # Refusal
//
// A queue at its bound refuses a request of the lowest waiting tier. A
// request whose expected wait and run time do not fit before its deadline is
// refused on arrival. Of lower tiers only their minimum shares count towards
// that wait, as a reduction of the capacity, so a long queue of a lower tier does
// not cause a higher tier to be refused.
//
// When a request is refused, all waiting requests of lower tiers are refused
// with it. For a short period after that, requests of lower tiers are not
// queued: each either runs at once, in the slot reserved for its tier's
// share, or is refused. So no request is refused while a waiting request of a
// lower tier is started later, and still no tier starves.
package tdqueue
