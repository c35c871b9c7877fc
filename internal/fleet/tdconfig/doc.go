// Package tdconfig publishes sets of objects and brings the newest one into
// force at a node.
//
// A set is cut into pieces, each named by the digest of its content, and one
// root value that lists them. Publishing writes the new pieces first and
// then swaps the root, so a published set is whole or not published. A few
// nodes of each data centre watch the root in the store; all others learn
// of a new version from the membership and fetch what they lack from nodes
// that have it. The version in force at a node only rises.
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
