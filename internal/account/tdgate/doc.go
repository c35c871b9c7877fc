// Package tdgate fences the external writes of a duty, so that the writes of two
// processes that both assume they hold its lease never interleave.
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
// the write is sent. A receiver that checks fencing tokens rejects the writes of
// an earlier holder by itself. A holder sends nothing to a receiver that ignores
// them until each earlier holder is cleared: it has stopped, and none of its
// unanswered writes to that receiver can still take effect. An earlier holder
// counts as stopped when its process has closed its gate to tokens below the new
// one, when another process has answered at its node or its VM has been missing
// from the platform's list for long enough, or when the hold-off has passed, if
// one is set. The earlier holders are recorded in the store, so that one that was
// never cleared is still known after the next change of holder.
package tdgate

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . gate.proto
