// Package tdquarantine detects requests that crash the backend servers that
// run them. Every request that was running on a server when it crashed is a
// suspect. No two suspects run on the same server at the same time, so that the
// request that caused the crash is distinguished from those that merely ran
// beside it. After two crashes, every node refuses the request for RefusedFor.
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
