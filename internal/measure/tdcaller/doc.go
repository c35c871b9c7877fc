// Package tdcaller plays the callers of a deployment: it sends requests on a
// schedule made beforehand, whether or not earlier ones were answered, and
// records what came of each.
//
// # Usage
//
//	plan := tdcaller.Plan(deployment, scenario, seed)
//	c := tdcaller.New(deployment, keys, nodes)
//	requests := c.Run(ctx, plan)
//
// Latency counts from the moment that the schedule intended, so a system
// that falls behind is seen to.
package tdcaller
