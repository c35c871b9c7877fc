// Package tdlease runs duties that at most one node of the fleet may perform
// at a time, each under a lease in the platform's key-value service.
//
// The local view of a lease is conservative. Its TTL is counted from before
// the call that acquired or renewed it, on a clock that includes time spent
// suspended. A call without a reply counts as not made until a repetition
// gets a reply. The holder's name identifies a process, not a node.
//
// # Usage
//
//	l := tdlease.New(store, clock, members, tdlease.Options{TTL: 10 * time.Second})
//	err := l.Hold(ctx, "orders", func(ctx context.Context, h tarragondeal.Held) error {
//		for {
//			// Immediately before each external write:
//			if err := h.Check(writeTimeout); err != nil {
//				return err
//			}
//			send(h.Fence())
//		}
//	})
package tdlease
