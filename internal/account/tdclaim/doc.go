// Package tdclaim lets each non-idempotent request run at most once in the
// fleet, by a claim in the platform's key-value service.
//
// # Usage
//
//	claims := tdclaim.New(tdclaim.Deps{Store: store, Members: members, Clock: clock, Log: log}, cfg)
//	go func() { done <- claims.Run(ctx) }()
//	claim, err := claims.Take(ctx, key, digest)
//	// Run the request, then one of:
//	err = claims.Finish(ctx, claim, answer)
//	err = claims.Abandon(ctx, claim) // Only if the request has certainly not run.
//
// A claim is one key in the store, named by a digest of workspace, route and
// idempotency key. Its record is claimed, finished or released, and carries a
// mark: an ID unique to the call that took it. The record is changed only by
// compare-and-swap, and a claimed record only by the holder of its mark, so at
// most one call sends the request to a backend server. A released record stays
// in the store until it is cleaned up, so that a delayed duplicate write, which
// expects an earlier revision, fails.
//
// [Cleaner] deletes old claims. It measures their age without wall clocks.
package tdclaim
