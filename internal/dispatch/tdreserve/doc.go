// Package tdreserve finds a backend server for a request: it asks the owners
// of the best servers for a grant, takes the first one, and tells the owners
// how the grants go.
//
// # Usage
//
//	d := tdreserve.New(tdreserve.Deps{...})
//	go func() { done <- d.Run(ctx) }()
//	grant, err := d.Reserve(ctx, ask)
//	d.Progress(grant, tokens)
//	d.Done(grant, outcome)
//
// # Asking
//
// The best server's owner is asked first. If it has not granted the request
// within a few milliseconds, the owners of two more servers are asked as
// well, or of five more if its target is close: the request then waits in
// several queues, and the first grant wins. A
// refusal is answered by asking the next server, until every permitted server
// has refused, so that a request is refused only when no server would
// displace a lower one for it.
package tdreserve
