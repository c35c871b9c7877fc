// Package tdhost serves callers' requests whose route is selected by host and
// path. It authenticates them by key, passes admitted requests to tdflow, as the
// router's own interface does, and writes error responses. It also serves the
// addresses that callers should use and the node's readiness.
//
// # Usage
//
//	h := tdhost.New(tdhost.Deps{...})
//	h.SetView(view, limits)
//	srv := &http.Server{Handler: h}
//	h.Leave(until) // The node is stopping.
//	h.Cut()        // Until has come: requests that are still open end now.
package tdhost
