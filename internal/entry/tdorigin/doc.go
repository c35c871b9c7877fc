// Package tdorigin remembers at which software of the backend servers each stream
// began, so that a caller that resumes a stream at any node gets the rest from a
// server whose events fit those before.
//
// The node that sends the first event of a stream to the caller announces the
// stream to all other nodes with its next state. A record is kept for a while after
// the stream has ended; as long as it is open, its node announces it again.
//
// A stream without a record began at the only software of its pool, if there has been
// no other one as long as the stream may have run. For that, nodes keep which software
// was listed, and exchange since when each of them knows all of it. A record in the store
// has it too, for nodes that start after all others have ended.
//
// # Usage
//
//	o := tdorigin.New(tdorigin.Deps{...}, tdorigin.Options{})
//	o.Load(entry) // The record in the store.
//	o.SetServers(servers)
//	go o.Keep(ctx, store, key)
//	ended := o.Began(workspace, request, server.Software())
//	software, err := o.Find(ctx, query)
package tdorigin

//go:generate protoc --go_out=. --go_opt=paths=source_relative origin.proto
