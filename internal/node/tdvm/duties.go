package tdvm

import (
	"context"
	"time"

	"tarragondeal"
	"tarragondeal/internal/account/tdbegun"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/capacity/tdscale"
	"tarragondeal/internal/dispatch/tdfit"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/fleet/tdmirror"
	"tarragondeal/platform"
)

const (
	// dutyLease is the lease under which one node reports usage and orders
	// servers. Both are done by the same node, which saves calls.
	dutyLease = "duties"
	// leaseLeast is the least time of the lease: renewals need room for slow
	// answers, and a call must fit between two of them.
	leaseLeast = 3 * time.Second
	// leaseMargin is kept free before the lease's end.
	leaseMargin = 300 * time.Millisecond
	// ordersIdle is how many unused connections for orders are kept.
	ordersIdle = 1
)

func (n *Node) buildDuties() {
	orders := platform.NewOrders(n.vm.Orders, n.client(ordersIdle))
	reporter := tdbegun.NewReporter(tdbegun.Deps{
		Store: n.store, Sink: orders, Counter: n.begun, Whole: n.mesh.Whole, Clock: n.clock,
		Log: tdlog.Part(n.log, "usage"), Scope: n.metrics.Scope.SubScope("usage"),
	}, tdbegun.Options{Self: n.vm.Node, Window: n.vm.Bounds.Window, Due: n.vm.Bounds.UsageDue})
	scale := tdscale.New(tdscale.Deps{
		Orders: orders, Fleet: fleet{n.fit}, Clock: n.clock,
		Log: tdlog.Part(n.log, "scale"), Scope: n.metrics.Scope.SubScope("scale"),
	}, tdscale.Options{Self: n.vm.Node, Start: n.clock.Now()})
	leases := tdlease.New(n.store, n.clock, n.mesh, tdlease.Options{
		TTL: max(n.vm.Bounds.LeaseTTL, n.vm.Bounds.MinLease, leaseLeast), Margin: leaseMargin,
		Log: tdlog.Part(n.log, "lease"), Scope: n.metrics.Scope.SubScope("lease"),
	})
	n.mirror.Subscribe(func(c tdmirror.Changes) {
		for _, e := range c.Entries {
			if e.Deleted && e.Key == tdlease.Keys+dutyLease {
				leases.NotifyAvailable(dutyLease)
			}
		}
	})
	n.add("hold duties", func(ctx context.Context) error {
		return leases.Hold(ctx, dutyLease, func(ctx context.Context, held tarragondeal.Held) error {
			return n.hold(ctx, held, reporter, scale)
		})
	})
}

// hold carries out the duties while the lease is held. The platform must not
// see two holders act by turns within the time of a lease. A holder before that
// let the lease lapse has not acted for that long; after one that gave it up, a
// new holder waits. Where no node can have held the lease, there is nothing to
// wait for.
func (n *Node) hold(ctx context.Context, held tarragondeal.Held, r *tdbegun.Reporter, s *tdscale.Duty) error {
	first := n.vm.FirstStart && !n.held
	lapsed := held.Predecessor() != ""
	n.held = true
	if !first && !lapsed && !tdclock.Sleep(ctx, n.vm.Bounds.LeaseTTL) {
		return nil
	}
	g := tdtask.New(ctx)
	g.Go("report usage", func(ctx context.Context) error { return r.Duty(ctx, held) })
	g.Go("order servers", func(ctx context.Context) error { return s.Run(ctx, held) })
	end := <-g.Ends()
	g.Close()
	return end.Err
}

// fleet shows the dispatch to the duty that orders servers.
type fleet struct{ *tdfit.Fit }

// Busy returns what the engines of a pool have to do.
func (f fleet) Busy(pool string) tdscale.Busy { return tdscale.Busy(f.Fit.Busy(pool)) }
