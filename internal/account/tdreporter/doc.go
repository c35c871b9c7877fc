// Package tdreporter closes usage windows and reports them to the platform's
// usage sink.
//
// # Usage
//
//	r := tdreporter.New(deps, cfg)
//	go func() { done <- r.Run(ctx) }()
//
// One node at a time has the duty, under the lease "usage". It bills by
// appending to a log in the store. Entry n names a window, the source generations
// that it bills, and the pieces that hold the billed lines. An entry is derived
// from all entries before it and written once, by compare-and-swap on its number,
// so that no source generation and no window is billed twice even if two nodes
// assume that they hold the lease. Only what is in the log is sent to the sink.
// Usage that arrives after its window was billed is billed as a correction in the
// next entry.
package tdreporter
