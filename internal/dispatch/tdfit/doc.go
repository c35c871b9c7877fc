// Package tdfit chooses backend servers for requests by the estimated time until
// each server would begin to answer. Nodes publish the requests that they send,
// so that all of them see the same load. The node that received the request makes
// the choice locally, without a call to another node.
//
// For model engines the estimate includes the prompt tokens that wait for
// prefill, the tokens of the request that the engine doesn't have cached, its
// memory, and how a long prompt delays the tokens of concurrent streams. Plain
// servers are compared by their running requests.
//
// What servers say of themselves, that they are leaving, accept a limited rate, want a pause
// or are brittle, is kept for one run of a server. It binds this node or all nodes, which
// receive it with the load.
//
// # Usage
//
//	f := tdfit.New(tdfit.Deps{...}, tdfit.Options{...})
//	f.SetServers(servers)
//	grant, err := f.Reserve(ctx, ask)
//	f.Progress(grant, 1) // The first event arrived.
//	f.Done(grant, outcome)
package tdfit

//go:generate protoc --go_out=. --go_opt=paths=source_relative fit.proto
