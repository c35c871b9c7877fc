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
	// knownTimeout is how long a holder waits until another node knows of its fencing token,
	// and knownInterval how often it checks that.
	knownTimeout  = 600 * time.Millisecond
	knownInterval = 50 * time.Millisecond
	// ordersMaxIdleConns is the number of idle connections kept for orders and
	// usage reports.
	ordersMaxIdleConns = 1
)

func (n *Node) buildDuties() {
	orders := platform.NewOrders(n.vm.Orders, n.httpClient(ordersMaxIdleConns))
	reporter := tdbegun.NewReporter(tdbegun.Deps{
		Store: n.store, Sink: orders, Counter: n.begun, AllAlive: n.mesh.AllAlive, Clock: n.clock,
		RemembersSince: n.mesh.RemembersSince, Era: func() tarragondeal.Era { return n.eras.Known().Era },
		Log: tdlog.Part(n.log, "usage"), Scope: n.metrics.Scope.SubScope("usage"),
	}, tdbegun.Options{Self: n.vm.Node, Window: n.vm.Bounds.Window, Due: n.vm.Bounds.UsageDue})
	scale := tdscale.New(tdscale.Deps{
		Orders: orders, Fleet: scaleFleet{n.fit}, Clock: n.clock,
		Log: tdlog.Part(n.log, "scale"), Scope: n.metrics.Scope.SubScope("scale"),
	}, tdscale.Options{Self: n.vm.Node, Start: n.clock.Now()})
	leases := tdlease.New(n.store, n.clock, n.mesh, tdlease.Options{
		TTL: n.leaseTTL(), Margin: leaseMargin, Fences: n.fences,
		Log: tdlog.Part(n.log, "lease"), Scope: n.metrics.Scope.SubScope("lease"),
	})
	n.mirror.Subscribe(func(c tdmirror.Changes) {
		for _, e := range c.Entries {
			if e.Key != tdlease.KeyPrefix+dutyLease {
				continue
			}
			leases.Observe(dutyLease, e)
			if e.Deleted {
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

// leaseTTL returns the TTL of the lease.
func (n *Node) leaseTTL() time.Duration {
	return max(n.vm.Bounds.LeaseTTL, n.vm.Bounds.MinLease, minLeaseTTL)
}

// runDuties performs the duties while the lease is held. The platform must not
// see two holders act alternately within one Bounds.LeaseTTL. A previous holder
// whose lease expired has not acted for that long. If the previous holder
// released the lease, or the store may have forgotten it, the new one waits for
// that time first. It need not wait if no node can have held the lease before, on
// the first start of the deployment. It does not act before another node knows of
// its fencing token.
func (n *Node) runDuties(ctx context.Context, held tarragondeal.Held, r *tdbegun.Reporter, s *tdscale.Duty) error {
	steady := n.mirror.IsSteady(n.leaseTTL())
	first := n.vm.FirstStart && !n.heldBefore && steady
	expired := held.Predecessor() != "" && steady
	n.heldBefore = true
	wait := n.vm.Bounds.LeaseTTL
	if !steady {
		wait = n.leaseTTL() // The previous holder may go on for as long.
	}
	if !first && !expired && !tdclock.Sleep(ctx, wait) {
		return nil
	}
	for end := n.clock.Now().Add(knownTimeout); !n.mesh.IsKnown(held.Fence()) && n.clock.Now() < end; {
		if !tdclock.Sleep(ctx, knownInterval) {
			return nil
		}
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
