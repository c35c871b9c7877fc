// Package tdquickstart shows the router at work in one process: embedded
// stand-ins for the platform and the backend servers, three nodes, a
// published set, and requests along the real path over HTTP.
//
// # Usage
//
//	err := tdquickstart.Run(ctx, tdquickstart.Options{Out: os.Stdout})
//
// The error is a *StepError when a step did not end as it should.
package tdquickstart
