// Package tdusage counts billable usage so that the failure of one VM loses no
// acknowledged usage and nothing is counted twice.
//
// # Usage
//
//	copies := tdusage.NewCopies(store, clock, log, takeOver)
//	tdusage.RegisterCopiesServer(links.Server(), copies)
//	m := tdusage.New(deps, cfg)
//	go func() { done <- m.Run(ctx) }()
//	err := m.Add(ctx, usage)
//
// A process counts into sources, each of which belongs to one window and has a
// bounded number of lines. The counts of a source only increase, so two copies
// are merged by taking the larger of each count; the merge is idempotent and
// independent of order. Add returns when a peer, in another data centre if
// there is one, or the store has the counts. Sources are flushed to the store
// periodically; when a process falls silent, its peer flushes the copies that
// it keeps of that process's sources.
//
// In the store a source is a chain of generations. A generation that has been
// billed is closed and never changes. Later counts go to the next generation,
// which starts from the counts of the closed one and is billed for the
// difference. Package tdreporter closes and bills generations.
package tdusage

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . usage.proto
