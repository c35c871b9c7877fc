// Package tarragondeal holds the types and interfaces that the parts of the
// router share.
//
// tarragondeal routes language-model traffic, and calls to plain HTTP
// services, from callers to backend servers in the data centres where each
// request is permitted to run. One program, cmd/tarragondeal, runs on every
// entry VM. This package contains no behaviour beyond small methods on its
// types: the implementations are in packages below internal/, which depend on
// each other through the interfaces declared here.
//
// # Usage
//
// A component takes the interfaces it needs in its New function:
//
//	claims := tdclaim.New(deps, cfg)
//	claim, err := claims.Take(ctx, key, digest)
//	var conflict *tarragondeal.ClaimError
//	if errors.As(err, &conflict) {
//		// Another request holds the claim.
//	}
//
// # Time
//
// Instants that are compared across a suspension of the VM are [Instant]
// values read from a [Clock], which include the time the VM was suspended and
// never step. Wall clock times are used only where people or the platform need
// a date: in usage windows, log lines and object histories.
package tarragondeal
