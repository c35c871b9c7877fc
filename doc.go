// Package tarragondeal holds the types and interfaces that the parts of the
// router share.
//
// tarragondeal routes language-model traffic, and calls to plain services
// beside it, from callers to backend servers in the data centres where each
// request is permitted to run. One program, cmd/tarragondeal, runs on every
// entry VM. This package has no behaviour of its own beyond small methods on
// its types: the implementations live below internal/, one package for each
// duty, and meet at the interfaces declared here.
//
// # Usage
//
// A part takes the interfaces it needs in its New function:
//
//	claims := tdclaim.New(store, clock, cfg)
//	claim, err := claims.Take(ctx, key)
//	var conflict *tarragondeal.ClaimError
//	if errors.As(err, &conflict) {
//		// Another request holds the claim.
//	}
//
// # Time
//
// Instants that must be compared across a suspension of the VM are
// [Instant] values read from a [Clock]. They count the time the VM spent
// suspended and never step. Wall clock times appear only where people or
// the platform need a date: usage windows, log lines, object histories.
package tarragondeal
