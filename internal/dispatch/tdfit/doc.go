// Package tdfit finds backend servers for requests by the time at which each
// server would begin to answer. Nodes tell one another what they have sent, so
// that all of them see the same load; the choice itself is made at the node that
// took the request, and asks nobody.
//
// For model engines the estimate counts the prompt tokens that wait to be read,
// those of the request that the engine does not hold from before, memory, and
// how a long prompt stretches the pauses of streams that run beside it. Plain
// servers are compared by what they have running.
//
// # Usage
//
//	f := tdfit.New(tdfit.Deps{...}, tdfit.Options{...})
//	f.SetServers(servers)
//	grant, err := f.Reserve(ctx, ask)
//	f.Progress(grant, 1) // The first event came.
//	f.Done(grant, outcome)
package tdfit

//go:generate protoc --go_out=. --go_opt=paths=source_relative fit.proto
