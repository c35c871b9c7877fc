// Package tdcheck checks the system's invariants against the history of a
// run, as callers, backend servers and the platform recorded it.
//
// # Usage
//
//	h := tdcheck.History{Requests: ..., Runs: ..., Reports: ...}
//	for _, v := range tdcheck.All(h) {
//		fmt.Println(v)
//	}
//
// Each check is a pure function of the history and returns every violation of
// its invariant. All processes of a run are on one machine, so the recorded
// times are from one clock and can be compared.
package tdcheck
