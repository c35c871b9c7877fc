// Package tdgate keeps two processes that both believe they are in charge of
// a duty from sending to the outside in turns.
//
// # Usage
//
//	gates := tdgate.New(deps, cfg)
//	tdgate.RegisterGatesServer(links.Server(), gates)
//	// In the duty, under the lease:
//	term, err := gates.Enter(ctx, "orders", held)
//	err = term.Send(ctx, tdgate.Receiver{Name: "platform", ChecksFencing: false}, timeout, send)
//
// Each write goes through a gate: a lock held while the lease is checked and
// the write is sent. A receiver that checks fencing tokens refuses an earlier
// holder by itself. To one that ignores them a holder sends nothing before
// every earlier holder is cleared: its process has closed its gate below the
// new token, or another process answers at its node, or its VM is off the
// platform's list, or the hold-off is over, if one is set. The earlier
// holders stand in a record in the store, so that one that was never cleared
// is not forgotten when the duty changes hands again.
package tdgate

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . gate.proto
