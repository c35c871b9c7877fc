// Package tdreuse weighs what an engine saves that still has the beginning of a prompt cached
// against the wait there.
//
// An engine keeps what it has read while it has memory: what its running requests take is not
// available, and the parts that were used least recently yield first. So a part is probably
// cached while fewer tokens than the engine has room for were added since its last use. How
// much room an engine really has is corrected by what happens: the time to the first event
// shows whether a prefix was cached.
//
// # Usage
//
//	c := tdreuse.NewCache()
//	c.Add(prefixes)
//	held := c.Expect(prefixes, room)
//	cost := tdreuse.Offer{Wait: backlog, Read: read}.Cost(target)
//	c.Observe(held, hit)
//
// A Cache is not safe for concurrent use.
package tdreuse
