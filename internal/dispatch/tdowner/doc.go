// Package tdowner gives every backend server one owner among the live nodes.
// The owner alone keeps the server's queue, knows what it has granted, polls
// its load and sees its failures.
//
// # Usage
//
//	o := tdowner.New(tdowner.Deps{...}, tdowner.Options{})
//	o.Register(links.Server())
//	go func() { done <- o.Run(ctx) }()
//	go func() { taken <- o.Take(ctx) }()
//	go func() { polled <- o.Poll(ctx) }()
//	reply := o.Reserve(ctx, asked)
//
// # Ownership
//
// Placement maps servers to owners by rendezvous hashing over the live nodes
// of the server's own data centre, or of its region where none is live, so
// that a change of membership moves few servers. A node that becomes the
// owner asks every other live node what runs on the server before it grants
// anything. A node that answers drops the server if it held it, and from
// then on returns late grants of the owner it knew before. A node that owns
// the server by its own view of the membership denies the request, and the
// asker tries again until the views agree.
//
// A node whose loop has not run for a while takes itself for expired: it
// gives up all ownership, waits until it can have heard of the membership,
// and takes the servers over anew.
//
// # Grants
//
// A grant lasts as long as its node tells of it. Nodes tell of their running
// grants in one batch for each owner.
package tdowner

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal owner.proto
