package tdnode

import (
	"context"

	"tarragondeal"
	"tarragondeal/internal/account/tdburn"
)

// buildBurn builds the measurement of service-level burn. It runs after
// buildAccount, because wasted work goes to both the meter and the report.
func (n *Node) buildBurn() error {
	burn := tdburn.New(tdburn.Deps{Config: n.fleet.config, Clock: n.clock, Scope: n.metrics.Scope.SubScope("burn")})
	collector := tdburn.NewCollector(burn, tdburn.Fleet{
		Members: n.fleet.members, Links: n.fleet.links, Servers: n.dispatch.servers.Servers,
	})
	collector.Register(n.fleet.links.Server())
	n.account.burn = burn
	n.account.meter = wasteMeter{Meter: n.account.meter, burn: burn}
	n.operator.handOver = collector.HandOver
	n.operator.report = func(ctx context.Context) (any, error) { return collector.Report(ctx), nil }
	return nil
}

// wasteMeter is a Meter that also adds wasted work to the burn report.
type wasteMeter struct {
	tarragondeal.Meter
	burn *tdburn.Recorder
}

// Waste counts wasted work, which is not billed.
func (m wasteMeter) Waste(w tarragondeal.Waste) {
	m.Meter.Waste(w)
	m.burn.Waste(w.Cause, w.Class, w.Tokens)
}
