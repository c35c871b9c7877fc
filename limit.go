package tarragondeal

// Limiter admits requests within the limits of workspaces, keys and routes,
// which apply to the whole fleet.
type Limiter interface {
	// Admit admits a request whose work is estimated at tokens. The error is
	// a *RefusedError with ReasonLimit. The caller calls release once, at the
	// request's end, with the number of tokens used. The key is nil on open
	// routes.
	Admit(ws *Workspace, key *Key, route *Route, tokens int) (release func(tokens int), err error)
}
