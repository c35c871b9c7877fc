// Package tdbegun counts the requests of each workspace that begin to run, by
// windows of the time that most nodes agree on, and reports each window to the
// platform.
//
// Each process sends its own counts to the other nodes, so that the counts
// survive it. Counts only increase: of two counts of the same process, the
// larger is used. Some time after the end of a window the holder of the duty adds
// the counts up, writes the sums to the platform's store and sends them to the
// other nodes, before it first reports them. Every report of that window, also by
// later holders, has these sums. Holders use those that nodes know if the store
// comes back without them. A window that the platform has accepted is not sent
// again by holders that know so.
//
// # Usage
//
//	c := tdbegun.NewCounter(self, window, wall, alive)
//	c.Began("workspace")
//	r := tdbegun.NewReporter(tdbegun.Deps{...}, tdbegun.Options{...})
//	err := r.Duty(ctx, held)
package tdbegun

//go:generate protoc --go_out=. --go_opt=paths=source_relative begun.proto
