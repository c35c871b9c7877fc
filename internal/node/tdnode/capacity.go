package tdnode

import (
	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/capacity/tddemand"
	"tarragondeal/internal/capacity/tdorder"
	"tarragondeal/internal/capacity/tdplanner"
)

// buildCapacity builds the duty that orders backend servers, and wraps the
// dispatcher to count demand for it. It runs after buildAccount, whose gates it
// shares, and before buildEntry, which uses the wrapped dispatcher.
func (n *Node) buildCapacity() error {
	c := n.cfg.Capacity
	if c.OrdersUse <= 0 || c.OrdersUse > 1 || c.OrdersFirmUse <= 0 || c.OrdersFirmUse > 1 {
		return eris.New("settings orders.use and orders.firmUse must be above 0 and at most 1")
	}
	counter := tddemand.New(n.dispatch.dispatcher, n.cfg.DataCentre)
	tddemand.RegisterDemandsServer(n.fleet.links.Server(), counter)
	n.dispatch.dispatcher = counter
	duty := tdorder.New(tdorder.Deps{
		Store: n.fleet.store, Leases: n.fleet.leases, Gates: n.account.gates, Config: n.fleet.config,
		VMs: n.site, Loads: n.site, Demand: tddemand.NewFleet(counter, n.fleet.members, n.fleet.links), Orders: n.site, Clock: n.clock, Self: tarragondeal.NodeID(n.cfg.Name),
		Log: tdlog.Part(n.log, "orders"), Scope: n.metrics.Scope.SubScope("orders"),
	}, tdorder.Config{
		Plan: tdplanner.Config{
			Use: c.OrdersUse, OnDemandUse: c.OrdersFirmUse, StartUp: c.OrdersStartUp,
			DownAfter: c.OrdersDownAfter, DownEvery: c.OrdersDownEvery, UpEvery: c.OrdersUpEvery,
			StartsPerMinute: c.OrdersStartsPerMinute,
		},
		Every: c.OrdersEvery, Refresh: c.OrdersRefresh, SendTimeout: c.OrdersSendTimeout,
		PlatformChecksFencing: c.OrdersPlatformFencing,
	})
	n.addTask("order servers", duty.Run)
	return nil
}
