package tdnode

import (
	"net/http"

	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdfront"
)

// entry is what callers reach.
type entry struct {
	callers http.Handler
}

func (n *Node) buildEntry() error {
	front := tdfront.New(tdfront.Deps{
		Config: n.fleet.config, Dispatch: n.dispatch.dispatcher, Backend: n.backend,
		Claims: n.account.claims, Meter: n.account.meter, Burn: n.account.burn,
		Addresses: tdaddress.New(n.fleet.members), Clock: n.clock, Log: tdlog.Part(n.log, "front"),
	})
	n.entry.callers = front.Handler()
	return nil
}
