// Package tdbegun counts the requests of each workspace that begin to run, by
// windows of true time, and reports each window once.
//
// Each process counts for itself and tells the others what it has counted, so
// that the counts outlive it. Counts only grow: of two that are told of one
// process, the larger holds. The holder of the duty adds them up some time after
// a window's end, writes the sums to the platform's store before it reports them
// for the first time, and reports nothing else ever after.
//
// # Usage
//
//	c := tdbegun.NewCounter(self, window, wall, clock)
//	c.Began("workspace")
//	r := tdbegun.NewReporter(tdbegun.Deps{...}, tdbegun.Options{...})
//	err := r.Duty(ctx, held)
package tdbegun

//go:generate protoc --go_out=. --go_opt=paths=source_relative begun.proto
