package tarragondeal

// Limiter admits requests within the limits of workspaces, keys and routes,
// which hold for the fleet.
type Limiter interface {
	// Admit admits a request whose work is estimated at tokens. The error is
	// a *RefusedError with ReasonLimit. Release is called once, at the
	// request's end, with the tokens it really took. The key is nil on open
	// routes.
	Admit(ws *Workspace, key *Key, route *Route, tokens int) (release func(tokens int), err error)
}
