// Package tdera detects that the key-value service was restored from an earlier copy of its
// data, and numbers its histories.
//
// The service has one revision counter, and its answers are linearizable: a call that begins
// after an answer has arrived reports the same revision or a later one. An answer that
// reports an earlier one is a suspicion. It is examined by a write, which has a revision of its
// own, since a read may be old. If that revision is lower too, the service has gone back, and
// a new era begins. The first node to find this out writes the era to the service, so that all
// nodes number the same history alike, also those that start later.
//
// # Usage
//
//	t := tdera.New(clock, log, scope)
//	t.Subscribe(func(era tarragondeal.Era) { ... })
//	store := platform.NewStore(addr, client, clock, t) // Its answers are checked.
//	s, ok := t.Suspicion()                             // Examined by the copy of the store.
package tdera
