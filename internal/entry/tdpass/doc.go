// Package tdpass forwards requests to backend servers and relays their answers
// unchanged. It implements tdflow.Exchange for the interface on which callers
// select a route by host and path.
//
// A short answer is buffered until it is complete, so that a caller never mistakes
// a truncated answer for a complete one. Events of a stream are relayed as they
// arrive; their numbers show whether one is missing. A broken stream may be
// continued at another server after the last event sent to the caller.
//
// # Usage
//
//	x := tdpass.New(tdpass.Deps{...}, caller, host)
//	request.Exchange = x
//	err := flow.Run(ctx, w, request)
//	x.End()
package tdpass
