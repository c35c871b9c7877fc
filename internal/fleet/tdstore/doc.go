// Package tdstore is the one place from which a node calls the platform's
// key-value service.
//
// Every call has a deadline and takes from the node's share of the fleet's
// rates. Calls that are safe to repeat are repeated with full jitter. A
// write whose answer was lost is settled by making it again and looking at
// what stands there; what can't be settled is an error that says so. While
// the service is away calls fail at once, one now and then tries, and after
// its return the nodes' less urgent calls come back spread over time.
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
// Values that are swapped carry a mark of their writer, so that a writer
// knows its own value when it reads it back.
package tdstore
