// Package tdquickstart runs a demonstration of the router in one process. It
// starts stand-ins for the platform and the backend servers and three nodes,
// publishes a set, and sends requests to the nodes over HTTP.
//
// # Usage
//
//	err := tdquickstart.Run(ctx, tdquickstart.Options{Out: os.Stdout})
//
// The error is a *StepError when a step fails.
package tdquickstart
