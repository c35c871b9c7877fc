package tdnode

import (
	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/dispatch/tdbaseline"
	"tarragondeal/internal/dispatch/tdchoose"
	"tarragondeal/internal/dispatch/tdlimit"
	"tarragondeal/internal/dispatch/tdowner"
	"tarragondeal/internal/dispatch/tdprefix"
	"tarragondeal/internal/dispatch/tdquarantine"
	"tarragondeal/internal/dispatch/tdreserve"
	"tarragondeal/internal/dispatch/tdretry"
	"tarragondeal/internal/dispatch/tdserver"
	"tarragondeal/internal/node/tdsettings"
)

// prefixHistorySize is the number of prompt prefixes that a node remembers.
const prefixHistorySize = 16 << 10

// dispatch holds what assigns requests to backend servers and limits them.
type dispatch struct {
	servers    *tdserver.List
	dispatcher tarragondeal.Dispatcher
	limiter    *tdlimit.Limiter
}

func (n *Node) buildDispatch() error {
	n.dispatch.servers = tdserver.New(n.site, n.cfg.ListEvery, tdlog.Part(n.log, "servers"))
	n.addTask("follow servers", n.dispatch.servers.Run)
	n.buildLimiter()
	if n.cfg.DispatchPolicy != tdsettings.PolicyOwner {
		return n.buildBaseline()
	}
	return n.buildOwner()
}

// buildBaseline builds a simple dispatcher, as a baseline for comparison with the
// owner policy.
func (n *Node) buildBaseline() error {
	p := tdbaseline.Policy(n.cfg.DispatchPolicy)
	switch p {
	case tdbaseline.RoundRobin, tdbaseline.LeastOutstanding, tdbaseline.PowerOfTwo:
	default:
		return eris.Errorf("setting dispatch.policy: unknown policy %q", p)
	}
	d := tdbaseline.New(p, n.dispatch.servers, n.site, n.cfg.LoadEvery)
	n.addTask("read loads", d.Run)
	n.dispatch.dispatcher = d
	return nil
}

// buildLimiter builds the limiter for the limits that apply fleet-wide.
func (n *Node) buildLimiter() {
	n.dispatch.limiter = tdlimit.New(tdlimit.Deps{
		Members: n.fleet.members, Links: n.fleet.links, Clock: n.clock, Log: tdlog.Part(n.log, "limits"),
	})
	n.dispatch.limiter.Register(n.fleet.links.Server())
	n.addTask("share limits", n.dispatch.limiter.Run)
}

// buildOwner builds the dispatcher of the owner policy, which makes reservations
// with the owners of backend servers.
func (n *Node) buildOwner() error {
	prefixes, err := tdprefix.New(prefixHistorySize)
	if err != nil {
		return err
	}
	site := &site{list: n.dispatch.servers, config: n.fleet.config}
	quarantine := n.buildQuarantine()
	owner := tdowner.New(tdowner.Deps{
		Members: n.fleet.members, Links: n.fleet.links, Site: site, Loads: n.site, Clock: n.clock,
		Scope: n.metrics.Scope.SubScope("owner"), Log: tdlog.Part(n.log, "owner"),
	}, tdowner.Options{StartWait: n.cfg.OwnerStartWait, PollEvery: n.cfg.LoadEvery})
	owner.Register(n.fleet.links.Server())
	d := tdreserve.New(tdreserve.Deps{
		Self: n.fleet.members.Self().Node, Owner: owner, Links: n.fleet.links, Site: site, Clock: n.clock,
		Quarantine: quarantine, Budget: n.buildBudget(), Prefixes: prefixes,
		Scope: n.metrics.Scope.SubScope("dispatch"), Log: tdlog.Part(n.log, "dispatch"),
	})
	n.addTask("own servers", owner.Run)
	n.addTask("take servers over", owner.RunTakeovers)
	n.addTask("poll load", owner.Poll)
	n.addTask("report grants", d.Run)
	n.dispatch.dispatcher = d
	return nil
}

func (n *Node) buildQuarantine() *tdquarantine.Quarantine {
	if n.cfg.NoQuarantine {
		return nil
	}
	q := tdquarantine.New(tdquarantine.Deps{
		Members: n.fleet.members, Links: n.fleet.links, Spread: n.fleet.spread, Clock: n.clock,
		Log: tdlog.Part(n.log, "quarantine"),
	})
	q.Register(n.fleet.links.Server())
	n.addTask("tell of crashes", q.Run)
	return q
}

func (n *Node) buildBudget() *tdretry.Budget {
	if n.cfg.NoBudget {
		return nil
	}
	return tdretry.New(tdretry.Options{
		Ratio: n.cfg.RetryPart, Burst: n.cfg.RetryBurst, PerSecond: n.cfg.RetryPerSecond,
	}, n.clock)
}

// site gives the dispatcher the listed servers and their configuration.
type site struct {
	list   *tdserver.List
	config tarragondeal.Config
}

// Servers returns the listed backend servers.
func (s *site) Servers() []tarragondeal.Server { return s.list.Servers() }

// Slots returns how many requests each server of a pool runs at once, or 0 if
// the pool is not configured.
func (s *site) Slots(pool string) int { return s.Pool(pool).Slots }

// Pool returns the settings of a pool that matter to dispatch, or the zero Pool
// if the pool is not configured.
func (s *site) Pool(name string) tdchoose.Pool {
	v := s.config.View()
	if v == nil {
		return tdchoose.Pool{}
	}
	p, ok := v.ServerPools[name]
	if !ok {
		return tdchoose.Pool{}
	}
	return tdchoose.Pool{Slots: p.Slots, Reclaimable: p.Reclaimable}
}

// Region returns the region of a data centre, or "" if it is not configured.
func (s *site) Region(dataCentre string) string {
	v := s.config.View()
	if v == nil {
		return ""
	}
	c, ok := v.DataCentres[dataCentre]
	if !ok {
		return ""
	}
	return c.Region
}
