// Package tdhost takes callers' requests whose route is named by host and path,
// admits them by key, and gives errors their form. An admitted request goes to
// tdflow, like those of the router's own interface. It also answers which
// addresses callers should use, and whether the node is ready.
//
// # Usage
//
//	h := tdhost.New(tdhost.Deps{...})
//	h.SetView(view, limits)
//	srv := &http.Server{Handler: h}
//	h.Leave() // The node is stopping.
package tdhost
