// Package tdlisting keeps the configuration and the list of backend servers from
// the copy of the store. A configuration is replaced only by one with a higher
// version. A server whose entry expired while the store was unavailable is kept for
// a short time, since a live server is listed again.
//
// # Usage
//
//	servers := tdlisting.NewServers("servers/", decode, clock, log, func(list []tarragondeal.Server) { ... })
//	mirror.Subscribe(servers.Follow)
//	err := servers.Run(ctx)
//
// A Config is used in the same way. Its Run decodes configurations.
package tdlisting
