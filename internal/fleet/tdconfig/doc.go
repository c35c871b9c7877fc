// Package tdconfig publishes sets of objects and puts the newest one into
// force at a node.
//
// A set is split into pieces, which are addressed by the digest of their
// content, and one root value that lists them. Publishing writes the new
// pieces first and then swaps the root, so that a set is published completely
// or not at all. A few nodes of each data centre watch the root in the store;
// the others learn of a new version from the membership and fetch the pieces
// they lack from nodes that have it. The version in force at a node never
// decreases.
//
// # Usage
//
//	c := tdconfig.New(tdconfig.Deps{Store: store, Members: members, Links: links, Clock: clock})
//	c.Register(links.Server())
//	go func() { done <- c.Run(ctx) }()
//	view := c.View()
//	version, err := c.Publish(ctx, view.Version, set, publication)
//	lagging, err := c.InForce(ctx, version)
package tdconfig

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . config.proto
