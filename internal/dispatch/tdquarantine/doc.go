// Package tdquarantine finds requests that crash the backend servers that run
// them. Every request that broke with its server is a suspect. A suspect's
// next run is apart from other suspects, so that the guilty request is told
// from those that merely ran beside it. After two crashes the request is
// refused at every node for a stated time.
//
// # Usage
//
//	q := tdquarantine.New(deps)
//	q.Register(links.Server())
//	go func() { done <- q.Run(ctx) }()
//	q.Crashed(notice)
//	verdict, left := q.Check(fingerprint)
//	if verdict == tdquarantine.Suspect {
//		verdict, left = q.Confirm(ctx, fingerprint)
//	}
package tdquarantine

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal quarantine.proto
