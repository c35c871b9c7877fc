// Package tdowner gives every backend server one owner among the live nodes.
// Only the owner keeps the server's queue, tracks its grants, polls its load and
// records its failures.
//
// # Usage
//
//	o := tdowner.New(tdowner.Deps{...}, tdowner.Options{})
//	o.Register(links.Server())
//	go func() { done <- o.Run(ctx) }()
//	go func() { takenOver <- o.RunTakeovers(ctx) }()
//	go func() { polled <- o.Poll(ctx) }()
//	reply := o.ReserveLocal(ctx, reservation)
//
// # Ownership
//
// Placement maps servers to owners by rendezvous hashing over the live nodes
// of the server's own data centre, or of its region if the data centre has no
// live node, so that a membership change moves few servers. A node that becomes
// the owner asks every other live node for the grants that run on the server
// before it grants anything. A node that answers releases the server if it owned
// it, and from then on returns late grants of the previous owner. A node that
// owns the server according to its own view of the membership denies the
// takeover, and the asking node retries until the views agree.
//
// A node whose loop has not run for longer than a second assumes that its
// ownership has expired: it releases all servers, waits until it can have
// received the current membership, and takes its servers over again.
//
// # Grants
//
// A grant lasts as long as its node reports it, and ends when no report has
// arrived for some seconds. Nodes report their running grants in one batch for
// each owner.
package tdowner

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal owner.proto
