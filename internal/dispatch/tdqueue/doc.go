// Package tdqueue keeps the requests that wait for one backend server and
// those that run on it, and decides which one runs next and which one is
// refused. It has no clock, no goroutine and no socket.
//
// # Usage
//
//	q := tdqueue.New(tdqueue.Options{Bound: 1024})
//	q.SetRoom(slots)
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
// A lower tier runs only when no higher one waits. Within a tier the
// workspace that has been served least, in tokens over its weight, goes
// first. The estimated work is charged at the start, and replaced by the
// tokens that really come as they are told. What a workspace is served in a
// higher tier while it waits in a lower one counts there too. Within a workspace, requests that
// can still meet their target go before those that have missed it, but every
// sixteenth start takes one of the latter.
//
// A tier whose next request has missed its target earns credit with every
// start of a higher tier: its share of that start's expected duration. Once
// the credit pays for its own next request, that request runs first, unless
// the higher tier's next one would thereby miss its target. Once the credit
// is twice the price, it runs in any case, so no tier starves.
//
// # Refusal
//
// A queue over its bound refuses a request of the lowest tier that waits. A
// request whose expected wait and run do not fit before its deadline is
// refused when it arrives; nothing of a lower tier counts into that wait, so
// a higher tier is never refused for a lower one.
//
// With a refused request go the lower ones that wait. For a while after that
// requests of lower tiers do not wait at all: each runs at once in the place
// that is kept for its tier's share, or is refused. So no request is refused
// while a lower one waits that is started later, and still no tier starves.
package tdqueue
