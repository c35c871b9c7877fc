// Package tdscale orders backend servers by what callers ask of them. Servers
// that the platform may take back cost a fraction of the others, and are taken
// back a data centre at a time: so many are ordered that the loss of one data
// centre's leaves enough, and firm ones only where there is nothing else.
//
// # Usage
//
//	want := tdscale.Plan(pool, state)
//	d := tdscale.New(tdscale.Deps{...}, tdscale.Options{...})
//	err := d.Duty(ctx, held)
package tdscale
