// Package tdcheck checks the product's promises over what callers, backend
// servers and the platform recorded during a run.
//
// # Usage
//
//	h := tdcheck.History{Requests: ..., Runs: ..., Reports: ...}
//	for _, v := range tdcheck.All(h) {
//		fmt.Println(v)
//	}
//
// Each check is a function of the history alone, and returns every place
// where its promise was broken. Times are those of one machine, where all
// the processes of a run are.
package tdcheck
