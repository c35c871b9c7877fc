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

// entry holds what serves callers.
type entry struct {
	front   *tdfront.Front
	flow    *tdflow.Flow
	callers http.Handler
}

func (n *Node) buildEntry() error {
	guard := tdkey.NewGuard(n.fleet.config)
	n.addTask("follow withdrawn keys", guard.Run)
	n.entry.flow = tdflow.New(tdflow.Deps{
		Dispatch: n.dispatch.dispatcher, Backend: n.backend,
		Claims: n.account.claims, Meter: n.account.meter, Burn: n.account.burn, Guard: guard,
		Clock: n.clock, Metrics: n.metrics.Scope.SubScope("entry"), Log: tdlog.Part(n.log, "flow"),
	}, tdflow.Options{Attempts: n.cfg.Attempts, WriteTimeout: n.cfg.CallersWrite})
	n.entry.front = tdfront.New(tdfront.Deps{
		Config: n.fleet.config, Limiter: n.dispatch.limiter, Flow: n.entry.flow,
		Addresses: tdaddress.New(n.fleet.members, n.fleet.config, n.cfg.EntryTTL),
		Clock:     n.clock, Log: tdlog.Part(n.log, "front"),
	}, tdfront.Options{MaxBody: n.cfg.CallersMaxBody, BodyTimeout: n.cfg.CallersBody, MaxOpenPerKey: n.cfg.CallersPerKey})
	n.entry.callers = n.entry.front.Handler()
	n.addTask("tell load", n.publishLoad)
	if n.cfg.CallersCert == "" {
		return nil
	}
	var err error
	n.listeners.callers, err = tdoperator.NewTLSListener(n.listeners.callers, n.cfg.CallersCert, n.cfg.CallersKey, tdlog.Part(n.log, "front"))
	return err
}

// publishLoadInterval is how often a node publishes its load.
const publishLoadInterval = time.Second

// publishLoad publishes the load of this node to the other nodes, each of which
// spreads callers over the whole fleet. It runs until ctx ends.
func (n *Node) publishLoad(ctx context.Context) error {
	gauge := n.metrics.Scope.SubScope("entry").Gauge("openRequests")
	t := time.NewTicker(publishLoadInterval)
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

// advertisedCallers returns the address for callers that is advertised.
func (n *Node) advertisedCallers() string {
	if n.cfg.AdvertiseCallers != "" {
		return n.cfg.AdvertiseCallers
	}
	return n.listeners.callers.Addr().String()
}

// leave makes the entry report to callers that the node is stopping.
func (e *entry) leave() { e.front.Leave() }

// waitMetered waits until the usage of all requests has been metered.
func (e *entry) waitMetered() { e.flow.Wait() }
