package tdnode

import (
	"net/http"

	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdfront"
	"tarragondeal/internal/entry/tdoperator"
)

// entry is what callers and operators reach.
type entry struct {
	callers   http.Handler
	operators http.Handler
}

func (n *Node) buildEntry() error {
	front := tdfront.New(tdfront.Deps{
		Config: n.fleet.config, Dispatch: n.dispatch.dispatcher, Backend: n.backend,
		Claims: n.account.claims, Meter: n.account.meter, Burn: n.account.burn,
		Addresses: tdaddress.New(n.fleet.members), Clock: n.clock, Log: tdlog.Part(n.log, "front"),
	})
	n.entry.callers = front.Handler()
	op := tdoperator.New(n.fleet.config, n.fleet.members, n.cfg.OperatorToken, n.metrics.Handler())
	n.entry.operators = op.Handler()
	return nil
}
