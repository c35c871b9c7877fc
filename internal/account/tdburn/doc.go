// Package tdburn measures how the request classes fare against their
// targets, on every node, and merges the measures of all nodes into one
// report on service-level burn.
//
// # Usage
//
//	b := tdburn.New(tdburn.Deps{Config: config, Clock: clock})
//	b.Observe(sample)
//	b.Waste("retry", "roadside", 40)
//
//	c := tdburn.NewCollector(b, tdburn.Fleet{Members: members, Links: links, Servers: servers})
//	c.Register(links.Server())
//	report := c.Report(ctx)
//
// # State
//
// A node keeps counts and latency histograms of each request class in rings
// of time buckets, and counts alone of each pair of workspace and class. All
// rings end at three days. The numbers of classes, pairs and causes of waste
// are bounded; what is over goes into a shared bucket, so nothing is lost
// from the classes' figures. BenchmarkPairState states the bytes of a pair.
//
// Buckets are counted in instants of the node's own clock. Nodes exchange
// windows that end now, never times, so their clocks need not agree.
// Percentiles come from merged histograms; they are never averaged.
//
// A node that stops in order hands its buckets over to another one. A node
// that dies takes them with it. The report says how long the nodes have been
// measuring, and which did not answer.
package tdburn

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal burn.proto
