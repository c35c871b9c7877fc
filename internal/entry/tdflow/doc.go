// Package tdflow leads one admitted request to its answer: permitted places,
// claim, reservation, sending, relay, further attempts, resuming, metering.
//
// # Usage
//
//	f := tdflow.New(tdflow.Deps{...}, tdflow.Options{...})
//	if err := f.Run(ctx, w, &tdflow.Request{...}); err != nil {
//		tdrelay.WriteError(w, err)
//	}
//
// Run returns an error only while the caller has got nothing. What to do
// after which failure is decided by Next, a pure function.
package tdflow
