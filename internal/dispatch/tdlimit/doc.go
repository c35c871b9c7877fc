// Package tdlimit holds the limits of workspaces, keys and routes in the
// whole fleet.
//
// Every limited subject has a keeper among the live nodes, by rendezvous
// hashing. The keeper divides the limit among the nodes by their demand and
// never gives away more than the limit: what a node may use lapses at the
// node before the keeper gives it to another. A node asks for its share at a
// subject's first request, and again each second while the subject is in use.
//
// # Usage
//
//	l := tdlimit.New(deps)
//	l.Register(links.Server())
//	go func() { done <- l.Run(ctx) }()
//	release, err := l.Admit(workspace, key, route, tokens)
//	if err == nil {
//		defer release(used)
//	}
//
// # Error
//
// In any window of t seconds the fleet admits at most limit*(t+1) requests or
// tokens, and one more for each node in use, as long as the keeper stays the
// same: each share may be saved up for one second, and each node may have one
// request saved up. Tokens may exceed this by what was underestimated of the
// requests that run. Requests at once are exact. While a keeper changes or
// can't be reached, a node uses the share it has until that lapses, and then
// its equal part of the limit, so for two seconds at most twice the limit is
// admitted.
package tdlimit

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal limit.proto
