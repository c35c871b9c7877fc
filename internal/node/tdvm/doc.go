// Package tdvm assembles the node that runs on an entry VM of the users'
// platform. The platform's store holds the configuration, the list of servers
// and of nodes, and the leases of duties; the node itself keeps nothing.
//
// # Usage
//
//	n, err := tdvm.New(vm, os.Stdout)
//	err = n.Run(ctx)
package tdvm
