// Package tdvm assembles and runs the node process of an entry VM on the users'
// platform. The configuration, the lists of servers and nodes, and the leases
// of duties are in the platform's store. The node persists nothing itself.
//
// # Usage
//
//	n, err := tdvm.New(vm, os.Stdout)
//	err = n.Run(ctx)
package tdvm
