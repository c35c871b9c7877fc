package tdnode

import (
	"net/http"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdfront"
	"tarragondeal/internal/entry/tdkey"
)

// entry is what callers reach.
type entry struct {
	front   *tdfront.Front
	callers http.Handler
}

func (n *Node) buildEntry() error {
	if err := n.cfg.Entry.Check(); err != nil {
		return err
	}
	guard := tdkey.NewGuard(n.fleet.config)
	n.add("follow withdrawn keys", guard.Run)
	flow := tdflow.New(tdflow.Deps{
		Dispatch: n.dispatch.dispatcher, Backend: n.backend,
		Claims: n.account.claims, Meter: n.account.meter, Burn: n.account.burn, Guard: guard,
		Clock: n.clock, Metrics: n.metrics.Scope.SubScope("entry"), Log: tdlog.Part(n.log, "flow"),
	}, tdflow.Options{Attempts: n.cfg.Attempts, Write: n.cfg.CallersWrite})
	n.entry.front = tdfront.New(tdfront.Deps{
		Config: n.fleet.config, Limiter: noLimiter{}, Flow: flow,
		Addresses: tdaddress.New(n.fleet.members, n.fleet.config, n.cfg.EntryTTL),
		Clock:     n.clock, Log: tdlog.Part(n.log, "front"),
	}, tdfront.Options{MaxBody: n.cfg.CallersMaxBody, Body: n.cfg.CallersBody, PerKey: n.cfg.CallersPerKey})
	n.entry.callers = n.entry.front.Handler()
	return nil
}

// leave tells callers that the node is stopping.
func (e *entry) leave() { e.front.Leave() }

// noLimiter admits all.
type noLimiter struct{}

func (noLimiter) Admit(*tarragondeal.Workspace, *tarragondeal.Key, *tarragondeal.Route, int) (func(int), error) {
	return func(int) {}, nil
}
