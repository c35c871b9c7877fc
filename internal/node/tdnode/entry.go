package tdnode

import (
	"context"
	"net/http"
	"time"

	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdfront"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdoperator"
)

// entry is what callers reach.
type entry struct {
	front   *tdfront.Front
	flow    *tdflow.Flow
	callers http.Handler
}

func (n *Node) buildEntry() error {
	guard := tdkey.NewGuard(n.fleet.config)
	n.add("follow withdrawn keys", guard.Run)
	n.entry.flow = tdflow.New(tdflow.Deps{
		Dispatch: n.dispatch.dispatcher, Backend: n.backend,
		Claims: n.account.claims, Meter: n.account.meter, Burn: n.account.burn, Guard: guard,
		Clock: n.clock, Metrics: n.metrics.Scope.SubScope("entry"), Log: tdlog.Part(n.log, "flow"),
	}, tdflow.Options{Attempts: n.cfg.Attempts, Write: n.cfg.CallersWrite})
	n.entry.front = tdfront.New(tdfront.Deps{
		Config: n.fleet.config, Limiter: n.dispatch.limiter, Flow: n.entry.flow,
		Addresses: tdaddress.New(n.fleet.members, n.fleet.config, n.cfg.EntryTTL),
		Clock:     n.clock, Log: tdlog.Part(n.log, "front"),
	}, tdfront.Options{MaxBody: n.cfg.CallersMaxBody, Body: n.cfg.CallersBody, PerKey: n.cfg.CallersPerKey})
	n.entry.callers = n.entry.front.Handler()
	n.add("tell load", n.tellLoad)
	if n.cfg.CallersCert == "" {
		return nil
	}
	var err error
	n.listeners.callers, err = tdoperator.Secure(n.listeners.callers, n.cfg.CallersCert, n.cfg.CallersKey, tdlog.Part(n.log, "front"))
	return err
}

// tellLoadEvery is how often a node tells the others how much it carries.
const tellLoadEvery = time.Second

// tellLoad tells the other nodes how much this one carries, since each of
// them spreads callers over all.
func (n *Node) tellLoad(ctx context.Context) error {
	gauge := n.metrics.Scope.SubScope("entry").Gauge("openRequests")
	t := time.NewTicker(tellLoadEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		open := float64(n.entry.front.Open())
		gauge.Update(open)
		n.fleet.members.SetLoad(open / float64(n.cfg.CallersCapacity))
	}
}

// callersAddr returns the address that callers are told.
func (n *Node) callersAddr() string {
	if n.cfg.AdvertiseCallers != "" {
		return n.cfg.AdvertiseCallers
	}
	return n.listeners.callers.Addr().String()
}

// leave tells callers that the node is stopping.
func (e *entry) leave() { e.front.Leave() }

// settle returns when the figures of all requests have been metered.
func (e *entry) settle() { e.flow.Wait() }
