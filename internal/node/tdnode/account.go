package tdnode

import (
	"tarragondeal"
	"tarragondeal/internal/account/tdclaim"
	"tarragondeal/internal/account/tdgate"
	"tarragondeal/internal/account/tdreporter"
	"tarragondeal/internal/account/tdusage"
	"tarragondeal/internal/base/tdlog"
)

// account holds the metering of usage, the claims by which requests run at most
// once, and the gates of duties.
type account struct {
	claims tarragondeal.Claims
	meter  tarragondeal.Meter
	burn   tarragondeal.Burn
	gates  *tdgate.Gates
}

func (n *Node) buildAccount() error {
	n.buildClaims()
	n.buildUsage()
	n.buildReports()
	return nil
}

func (n *Node) buildClaims() {
	d := tdclaim.Deps{
		Store: n.fleet.store, Members: n.fleet.members, Clock: n.clock, Log: tdlog.Part(n.log, "claims"),
		Scope: n.metrics.Scope.SubScope("claims"),
	}
	claims := tdclaim.New(d, tdclaim.Config{
		MaxRun: n.cfg.ClaimsMaxRun, MaxAnswer: n.cfg.ClaimsMaxAnswer,
		Wait: n.cfg.ClaimsWait, Pending: n.cfg.ClaimsPending,
	})
	n.account.claims = claims
	n.addTask("end claims", claims.Run)
	n.addTask("clean claims", tdclaim.NewCleaner(d, n.fleet.leases, n.cfg.ClaimsRetention, n.cfg.ClaimsDeletes).Run)
}

func (n *Node) buildUsage() {
	log := tdlog.Part(n.log, "usage")
	copies := tdusage.NewCopies(n.fleet.store, n.clock, log, n.cfg.UsageTakeOver)
	tdusage.RegisterCopiesServer(n.fleet.links.Server(), copies)
	meter := tdusage.New(tdusage.Deps{
		Store: n.fleet.store, Members: n.fleet.members, Links: n.fleet.links, Clock: n.clock,
		Log: log, Scope: n.metrics.Scope.SubScope("usage"),
	}, tdusage.Config{
		Window: n.cfg.UsageWindow, Gather: n.cfg.UsageGather, StoreEvery: n.cfg.UsageStoreEvery,
		FlushEvery: n.cfg.UsageFlushEvery, AckWait: n.cfg.UsageAckWait,
	})
	n.account.meter = meter
	n.addTask("keep usage copies", copies.Run)
	n.addTask("meter usage", meter.Run)
}

func (n *Node) buildReports() {
	log := tdlog.Part(n.log, "reports")
	n.account.gates = tdgate.New(tdgate.Deps{
		Store: n.fleet.store, Members: n.fleet.members, Links: n.fleet.links, VMs: n.site, Clock: n.clock, Log: log,
	}, tdgate.Config{Settle: n.cfg.GateSettle, ListLag: n.cfg.GateListLag, HoldOff: n.cfg.GateHoldOff})
	tdgate.RegisterGatesServer(n.fleet.links.Server(), n.account.gates)
	reports := tdreporter.New(tdreporter.Deps{
		Store: n.fleet.store, Leases: n.fleet.leases, Gates: n.account.gates, Sink: n.site, Clock: n.clock,
		Self: tarragondeal.NodeID(n.cfg.Name), Log: log, Scope: n.metrics.Scope.SubScope("reports"),
	}, tdreporter.Config{
		Window: n.cfg.UsageWindow, Grace: n.cfg.UsageGrace, Every: n.cfg.UsageEvery,
		SendTimeout: n.cfg.UsageSendTimeout, SinkChecksFencing: n.cfg.UsageSinkFencing, KeepWindows: n.cfg.UsageKeep,
	})
	n.addTask("report usage", reports.Run)
}
