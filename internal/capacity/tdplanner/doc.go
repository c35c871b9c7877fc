// Package tdplanner decides how many backend servers each pool should have in
// each data centre. It knows neither sockets nor clocks.
//
// # Usage
//
//	p := tdplanner.New(cfg)
//	p.Restore(wants, now)
//	wants := p.Plan(now, tdplanner.Input{View: view, Demand: demand, Servers: servers})
//
// Pools that stand together in a route form a group, and the plan is made for
// each group and data centre. Servers that are not reclaimable must carry the
// requests of classes with a target by themselves, so that they still do when
// all reclaimable servers of the data centre vanish; all servers together
// must carry all requests with room to spare. What is cheaper for a slot is
// ordered first.
//
// A number rises at once, within bounds, and falls by one server at a time,
// only after the need was lower for long. A number never falls for what the
// list of VMs does not show, nor for demand that is not known.
package tdplanner
