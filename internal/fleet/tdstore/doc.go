// Package tdstore is the client through which a node makes all its calls of the
// platform's key-value service.
//
// Every call has a deadline and counts against the node's share of the fleet's
// rates. Calls that are safe to retry are retried with full jitter. If a write
// gets no reply, the client repeats it and compares the stored value to find
// out whether the first attempt took effect; if this can't be determined, the
// error is not settled. While the service is unavailable, calls fail at once
// except for a probe now and then. When it recovers, the nodes resume calls
// that are not urgent at different times.
//
// # Usage
//
//	store := tdstore.New(kv, clock, tdstore.Options{Nodes: func() int { return len(members.Members()) }})
//	e, err := store.Swap(ctx, key, value, prev)
//	var lost *tarragondeal.StoreError
//	if errors.As(err, &lost) && !lost.Settled {
//		// The write may have taken effect.
//	}
//
// Values passed to Swap must be unique to their writer, so that the client
// recognises its own value when it reads it back.
package tdstore
