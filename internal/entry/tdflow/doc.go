// Package tdflow serves one admitted request. It determines the permitted data
// centres, takes the idempotency claim, reserves a backend server, sends the
// request, relays the answer, retries or resumes after failures, and meters
// usage.
//
// # Usage
//
//	f := tdflow.New(tdflow.Deps{...}, tdflow.Options{...})
//	if err := f.Run(ctx, w, &tdflow.Request{...}); err != nil {
//		tdrelay.WriteError(w, err)
//	}
//
// Run returns an error only if nothing has been written to the caller. Next, a
// pure function, decides how to proceed after each failure.
package tdflow
