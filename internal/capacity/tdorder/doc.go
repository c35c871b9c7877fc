// Package tdorder implements the duty that orders backend servers from the
// platform and instructs model engines which model to serve.
//
// # Usage
//
//	d := tdorder.New(deps, cfg)
//	go func() { done <- d.Run(ctx) }()
//
// One node runs the duty, under the lease "orders". Orders are absolute: they
// state how many servers of a pool a data centre should have, and which model
// an engine should serve. The desired numbers are written to the store before
// they are sent, so that the next holder continues with them. Every order
// passes a gate of package tdgate immediately after the lease was checked.
package tdorder
