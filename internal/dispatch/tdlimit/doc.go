// Package tdlimit enforces the limits of workspaces, keys and routes across
// the whole fleet.
//
// Rendezvous hashing assigns every limited subject an allocator among the live
// nodes. The allocator divides the limit among the nodes by their demand and
// never grants more than the limit: a share expires at the node that holds it
// before the allocator grants it to another. A node requests its share at the
// first request of a subject, and then every second while the subject is in
// use.
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
// # Accuracy
//
// While the allocator stays the same, the fleet admits at most limit*(t+1)
// requests or tokens in any window of t seconds, and one more for each node in
// use: each share may accumulate for one second, and each node may accumulate
// one request. Tokens may exceed this by the amount by which the running
// requests were underestimated. Limits on concurrent requests are exact. While
// the allocator changes or can't be reached, a node uses its share until that
// expires, and then an equal share of the limit, so for two seconds at most
// twice the limit is admitted.
package tdlimit

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal limit.proto
