// Package tdpass passes requests on to backend servers as they came, and their
// answers back as they are. It serves the interface on which callers name a
// route by host and path.
//
// A short answer is held until it is whole, so that a caller never takes a part
// of one for the answer. Events of a stream go on as they come; their numbers
// tell whether one is missing. A stream that breaks may go on at another server
// after the last event that the caller has got.
//
// # Usage
//
//	x := tdpass.New(backend, starts, caller, host, clock, log)
//	request.Exchange = x
//	err := flow.Run(ctx, w, request)
package tdpass
