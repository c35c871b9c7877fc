// Package tdscale scales the backend servers of model pools with demand. Spot
// servers, which the platform may reclaim, cost a fraction of on-demand
// servers and are reclaimed for a whole data centre at once. The plan therefore
// contains enough of them to survive the loss of one data centre, and uses
// on-demand servers only where no spot servers are available.
//
// # Usage
//
//	plan := tdscale.MakePlan(pool, tdscale.RequiredEngines(engine, busy), state)
//	d := tdscale.New(tdscale.Deps{...}, tdscale.Options{...})
//	err := d.Run(ctx, held)
package tdscale
