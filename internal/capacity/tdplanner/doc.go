// Package tdplanner decides how many backend servers each pool should have in
// each data centre. It makes no network calls and reads no clock.
//
// # Usage
//
//	p := tdplanner.New(cfg)
//	p.Restore(wants, now)
//	wants := p.Plan(now, tdplanner.Input{View: view, Demand: demand, Servers: servers})
//
// Pools that share a route form a group, and the plan is made for each group
// and data centre. On-demand servers alone must carry the requests of classes
// with a latency target, so that they still do when all reclaimable servers of
// the data centre are lost. All servers together must carry all requests with
// spare capacity. Pools with a lower cost per slot are used first.
//
// The number of servers increases at once, within bounds. It decreases by one
// server at a time, after the need has been lower for Config.DownAfter. It
// never decreases because the list of VMs lacks servers or because demand is
// unknown.
package tdplanner
