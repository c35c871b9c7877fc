// Package tddemand counts the demand for backend servers at each node, and sums
// it for the node that orders servers.
//
// # Usage
//
//	counter := tddemand.New(dispatcher, members.Self().DataCentre)
//	tddemand.RegisterDemandsServer(links.Server(), counter)
//	// Use counter as the dispatcher.
//	fleet := tddemand.NewFleet(counter, members, links)
//	demand, err := fleet.Demand(ctx)
//
// Each request is counted once, at the node that received it, even if several
// owners of servers were asked for a grant. A running request counts for the
// pool and data centre in which it runs. A request that waits, or was refused
// for lack of servers, counts for the first of its pools, in the node's own
// data centre if it is permitted there.
package tddemand

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . demand.proto
