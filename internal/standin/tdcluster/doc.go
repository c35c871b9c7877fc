// Package tdcluster starts the stand-ins of a whole deployment on loopback:
// the platform and the backend servers of each pool in each data centre. It
// can crash, restart and reclaim servers, and it carries out the orders that
// the platform takes.
//
// # Usage
//
//	c, err := tdcluster.Start(tdcluster.Spec{Groups: ...})
//	defer c.Close()
//	// Point nodes at c.PlatformURL.
//	c.Reclaim("spot", "erie", 2*time.Second)
package tdcluster
