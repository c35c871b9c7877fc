// Package tdlisting keeps what the copied store says of the configuration and
// of the backend servers. A configuration only ever follows an older one. A
// server whose entry lapsed while the store was away is kept for a while, since
// it comes back when it is alive.
//
// # Usage
//
//	servers := tdlisting.NewServers(decode, clock, log, func(list []tarragondeal.Server) { ... })
//	mirror.Subscribe(servers.Follow)
//	err := servers.Run(ctx)
package tdlisting
