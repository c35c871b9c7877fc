// Package tdlease runs duties that only one node of the fleet may have, each
// under a lease of the platform's key-value service.
//
// A lease counts as held only while that is certain: its time runs from
// before the call that took it, on a clock that counts time suspended, and a
// call whose answer was lost counts as not made until it has been made again
// with an answer. The holder's name is that of a process, not of a node.
//
// # Usage
//
//	l := tdlease.New(store, clock, members, tdlease.Options{TTL: 10 * time.Second})
//	err := l.Hold(ctx, "orders", func(ctx context.Context, h tarragondeal.Held) error {
//		for {
//			// Immediately before each write to the outside:
//			if err := h.Check(writeTimeout); err != nil {
//				return err
//			}
//			send(h.Fence())
//		}
//	})
package tdlease
