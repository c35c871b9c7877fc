// Package tdreserve reserves a slot on a backend server for a request: it asks
// the owners of the best servers for a grant, uses the first one, and reports the
// progress and the end of grants to the owners.
//
// # Usage
//
//	d := tdreserve.New(tdreserve.Deps{...})
//	go func() { done <- d.Run(ctx) }()
//	grant, err := d.Reserve(ctx, ask)
//	d.Progress(grant, tokens)
//	d.Done(grant, outcome)
//
// # Reservations
//
// The owner of the best server is asked first. If it has not granted the request
// within a few milliseconds, the owners of two more servers are asked as well, or
// of five more if the request's target is close. The request then waits in several
// queues, and the first grant is used. After a refusal the next server is asked,
// until every permitted server has refused, so that a request is refused only if
// no server would displace a request of a lower tier for it.
package tdreserve
