// Package tdcaller simulates the callers of a deployment. It is an open-loop
// load generator: requests are sent at precomputed times, whether or not
// earlier ones were answered, and the outcome of each is recorded.
//
// # Usage
//
//	plan := tdcaller.Plan(deployment, scenario, seed)
//	c := tdcaller.New(deployment, keys, nodes)
//	requests := c.Run(ctx, time.Now(), plan)
//
// Latency is measured from the scheduled time, not from the actual sending,
// so delays of a system that falls behind are included.
package tdcaller
