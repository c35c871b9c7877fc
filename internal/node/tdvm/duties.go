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
	// servers. One lease for both duties saves calls to the store.
	dutyLease = "duties"
	// minLeaseTTL is the lower bound of the lease's TTL. It leaves time for slow
	// replies to renewals, and for a call between two renewals.
	minLeaseTTL = 3 * time.Second
	// leaseMargin is the safety margin before the lease expires.
	leaseMargin = 300 * time.Millisecond
	// ordersMaxIdleConns is the number of idle connections kept for orders and
	// usage reports.
	ordersMaxIdleConns = 1
)

func (n *Node) buildDuties() {
	orders := platform.NewOrders(n.vm.Orders, n.httpClient(ordersMaxIdleConns))
	reporter := tdbegun.NewReporter(tdbegun.Deps{
		Store: n.store, Sink: orders, Counter: n.begun, AllAlive: n.mesh.AllAlive, Clock: n.clock,
		Log: tdlog.Part(n.log, "usage"), Scope: n.metrics.Scope.SubScope("usage"),
	}, tdbegun.Options{Self: n.vm.Node, Window: n.vm.Bounds.Window, Due: n.vm.Bounds.UsageDue})
	scale := tdscale.New(tdscale.Deps{
		Orders: orders, Fleet: scaleFleet{n.fit}, Clock: n.clock,
		Log: tdlog.Part(n.log, "scale"), Scope: n.metrics.Scope.SubScope("scale"),
	}, tdscale.Options{Self: n.vm.Node, Start: n.clock.Now()})
	leases := tdlease.New(n.store, n.clock, n.mesh, tdlease.Options{
		TTL: max(n.vm.Bounds.LeaseTTL, n.vm.Bounds.MinLease, minLeaseTTL), Margin: leaseMargin,
		Log: tdlog.Part(n.log, "lease"), Scope: n.metrics.Scope.SubScope("lease"),
	})
	n.mirror.Subscribe(func(c tdmirror.Changes) {
		for _, e := range c.Entries {
			if e.Deleted && e.Key == tdlease.KeyPrefix+dutyLease {
				leases.NotifyAvailable(dutyLease)
			}
		}
	})
	n.addTask("hold duties", func(ctx context.Context) error {
		return leases.Hold(ctx, dutyLease, func(ctx context.Context, held tarragondeal.Held) error {
			return n.runDuties(ctx, held, reporter, scale)
		})
	})
}

// runDuties performs the duties while the lease is held. The platform must not
// see two holders act alternately within one Bounds.LeaseTTL. A previous holder
// whose lease expired has not acted for that long. If the previous holder
// released the lease, the new one waits for that time first. It need not wait
// if no node can have held the lease before, on the first start of the
// deployment.
func (n *Node) runDuties(ctx context.Context, held tarragondeal.Held, r *tdbegun.Reporter, s *tdscale.Duty) error {
	first := n.vm.FirstStart && !n.heldBefore
	expired := held.Predecessor() != ""
	n.heldBefore = true
	if !first && !expired && !tdclock.Sleep(ctx, n.vm.Bounds.LeaseTTL) {
		return nil
	}
	g := tdtask.New(ctx)
	g.Go("report usage", func(ctx context.Context) error { return r.Duty(ctx, held) })
	g.Go("order servers", func(ctx context.Context) error { return s.Run(ctx, held) })
	end := <-g.Ends()
	g.Close()
	return end.Err
}

// scaleFleet adapts a dispatcher to tdscale.Fleet.
type scaleFleet struct{ *tdfit.Fit }

// Busy returns the load of the engines of a pool.
func (f scaleFleet) Busy(pool string) tdscale.Busy { return tdscale.Busy(f.Fit.Busy(pool)) }
