package tdnode

import (
	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/dispatch/tdbaseline"
	"tarragondeal/internal/dispatch/tdserver"
)

// dispatch is how requests find backend servers.
type dispatch struct {
	servers    *tdserver.List
	dispatcher tarragondeal.Dispatcher
}

func (n *Node) buildDispatch() error {
	n.dispatch.servers = tdserver.New(n.site, n.cfg.ListEvery, tdlog.Part(n.log, "servers"))
	n.add("follow servers", n.dispatch.servers.Run)
	n.dispatch.dispatcher = tdbaseline.New(tdbaseline.Policy(n.cfg.DispatchPolicy), n.dispatch.servers)
	return nil
}
