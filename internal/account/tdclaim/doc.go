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
//	err = claims.Abandon(ctx, claim) // Only when it has certainly not run.
//
// A claim is one key of the store, named by a digest of workspace, route and
// idempotency key. Its record is claimed, finished or released, and carries
// the mark of the call that took it. The record is only ever changed by
// compare-and-swap, and a claimed record only by the holder of its mark, so
// a request is sent to a backend server by one call at most. A released
// record stays until the clean-up, so that a delayed repeat of an earlier
// write finds its revision gone.
//
// The clean-up is [Cleaner]. It measures the age of claims without wall
// clocks.
package tdclaim
