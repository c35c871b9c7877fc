// Package tdusage counts what is billed, so that the death of one VM loses
// nothing that was acknowledged and no figure is counted twice.
//
// # Usage
//
//	copies := tdusage.NewCopies(store, clock, log)
//	tdusage.RegisterCopiesServer(links.Server(), copies)
//	m := tdusage.New(deps, cfg)
//	go func() { done <- m.Run(ctx) }()
//	err := m.Add(ctx, usage)
//
// A process counts by source: a window, and up to a number of lines in it.
// The figures of a source only rise, so that two copies are merged by taking
// the larger of each figure, in any order and however often. Add returns
// when a peer, in another data centre if there is one, or the store has the
// figures. Sources are flushed to the store from time to time; when the
// process that counts is not heard of any more, its peer flushes what it
// has.
//
// In the store a source is a chain of generations. A generation that has been
// billed is closed and never changes; figures that come later go to the next
// generation, whose bill is the difference between the two. Package
// tdreporter closes and bills them.
package tdusage

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . usage.proto
