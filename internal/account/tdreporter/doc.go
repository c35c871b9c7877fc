// Package tdreporter closes usage windows and reports them to the platform's
// usage sink.
//
// # Usage
//
//	r := tdreporter.New(deps, cfg)
//	go func() { done <- r.Run(ctx) }()
//
// One node has the duty, under the lease "usage". It bills by a log in the
// store: entry n names a window, the source generations it bills, and the
// pieces that hold its figures. An entry is written once, by compare-and-swap
// on its number, from all entries before it, so that two holders can't bill a
// source twice or a window twice, whatever they believe. Only what stands in
// the log is ever sent. Usage that comes after its window was billed is a
// correction in the next entry.
package tdreporter
