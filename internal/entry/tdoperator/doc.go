// Package tdoperator implements the operator API of a node: publishing sets,
// managing keys, and reading the status of the fleet and the report on
// service-level burn. The API has its own port, and its calls need the token of
// an operator. The package also contains the client that the command-line tool
// uses.
//
// # Usage
//
//	api := tdoperator.New(tdoperator.Deps{Config: config, Members: members, Tokens: tokens, ...})
//	srv := &http.Server{Handler: api.Handler()}
//
//	c := tdoperator.NewClient("10.0.0.5:8082", token)
//	status, err := c.Status(ctx)
//	var refused *tdoperator.Error
//	if errors.As(err, &refused) && refused.Code == tdoperator.CodeConflict {
//		// Another set was published in between.
//	}
//
// Every change is published under the name of the operator whose token the
// request carries. The call returns when the change is in force at every live
// node. If that takes longer than the requested wait, the result lists the
// nodes that lag.
package tdoperator
