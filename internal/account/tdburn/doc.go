// Package tdburn measures on every node how well requests meet the targets of
// their classes, and merges the measures of all nodes into one report on
// error budgets and burn rates.
//
// # Usage
//
//	b := tdburn.New(tdburn.Deps{Config: config, Clock: clock})
//	b.Observe(sample)
//	b.Waste("retry", "bench", 40)
//
//	c := tdburn.NewCollector(b, tdburn.Fleet{Members: members, Links: links, Servers: servers})
//	c.Register(links.Server())
//	report := c.Report(ctx)
//
// # State
//
// A node keeps counts and latency histograms for each request class in ring
// buffers of time buckets, and only counts for each pair of workspace and
// class. The rings cover three days. The numbers of classes, pairs and causes
// of waste are bounded; the excess is counted under Other, so the figures of
// the classes stay complete. BenchmarkPairState reports the memory of a pair.
//
// Buckets are numbered by the node's own monotonic clock. Nodes exchange
// windows relative to the present, never timestamps, so their clocks need not
// agree. Percentiles are computed from merged histograms, never averaged.
//
// A node that shuts down gracefully hands its buckets over to another node;
// those of a node that crashes are lost. The report states how long the nodes
// have been measuring and which of them did not answer.
package tdburn

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal burn.proto
