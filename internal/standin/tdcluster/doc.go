// Package tdcluster starts the fakes of a whole deployment on loopback: the
// platform, and the backend servers of each pool in each data centre. It can
// crash, restart and reclaim servers, and apply the server orders that the
// platform accepts.
//
// # Usage
//
//	c, err := tdcluster.Start(tdcluster.Spec{Groups: ...})
//	defer c.Close()
//	// Point nodes at c.PlatformURL.
//	c.Reclaim("spot", "erie", 2*time.Second)
package tdcluster
