// Package tdorder is the duty that orders backend servers from the platform,
// and tells model engines what to serve.
//
// # Usage
//
//	d := tdorder.New(deps, cfg)
//	go func() { done <- d.Run(ctx) }()
//
// One node has the duty, under the lease "orders". Orders are absolute: how
// many servers of a pool a data centre should have, and which model an engine
// should serve. What is wanted stands in the store before it is sent, so that
// the next holder goes on from there. Every order goes through a gate of
// package tdgate immediately after the lease was checked.
package tdorder
