// Package tdoperator serves operators: publishing sets, keys, status and the
// report. It listens on a port of its own, and every call carries the token
// of an operator. It also holds the client that the command line uses.
//
// # Usage
//
//	o := tdoperator.New(tdoperator.Deps{Config: config, Members: members, Tokens: tokens, ...})
//	srv := &http.Server{Handler: o.Handler()}
//
//	c := tdoperator.NewClient("10.0.0.5:8082", token)
//	status, err := c.Status(ctx)
//	var refused *tdoperator.Error
//	if errors.As(err, &refused) && refused.Code == tdoperator.CodeConflict {
//		// Another set was published in between.
//	}
//
// Every change is published with the name of the operator whose token came
// with the call. A change returns once it is in force at every live node, or
// names those that lag.
package tdoperator
