// Package tdlisting keeps the configuration, the list of backend servers and the
// evacuated data centres from the copy of the store. A configuration is replaced only
// by one with a higher version. A server whose entry expired while the store was
// unavailable is kept for a short time, since a live server is listed again.
//
// In a later era the store may hold earlier entries, at revisions that it gives again.
// What an entry says then decides whether it is applied: the version of a configuration, and
// the start and the count of writes of a server.
//
// # Usage
//
//	servers := tdlisting.NewServers("servers/", decode, clock, log, func(list []tarragondeal.Server) { ... })
//	eras.Subscribe(servers.StartEra)
//	mirror.Subscribe(servers.Follow)
//	err := servers.Run(ctx)
//
// A Config and Evacuations are used in the same way. The Run of a Config decodes
// configurations.
package tdlisting
