package tdbackend

import (
	"net/netip"
	"sync"
	"time"

	"tarragondeal"
)

// keptConns knows the idle connections of a transport. It is safe for concurrent use.
type keptConns struct {
	clock tarragondeal.Clock
	mu    sync.Mutex
	idle  map[string]map[*countedConn]tarragondeal.Instant // By address, since when each is idle.
}

func newKeptConns(clock tarragondeal.Clock) *keptConns {
	return &keptConns{clock: clock, idle: make(map[string]map[*countedConn]tarragondeal.Instant)}
}

// add records that a connection is idle from now on, unless it is closed or another request
// than its latest user t has got it since; t is nil for a new connection. A request sets itself as the user before it calls
// take, so that its entry is either not added or removed.
func (k *keptConns) add(c *countedConn, t *sendTrace) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.closed || c.user.Load() != t {
		return
	}
	if k.idle[c.addr] == nil {
		k.idle[c.addr] = make(map[*countedConn]tarragondeal.Instant)
	}
	k.idle[c.addr][c] = k.clock.Now()
}

// take records that a connection is used, and returns how long it was idle.
func (k *keptConns) take(c *countedConn) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	since, ok := k.idle[c.addr][c]
	if !ok {
		return 0
	}
	k.removeLocked(c)
	return k.clock.Now().Sub(since)
}

// remove records that a connection is closed.
func (k *keptConns) remove(c *countedConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.closed = true
	k.removeLocked(c)
}

func (k *keptConns) removeLocked(c *countedConn) {
	delete(k.idle[c.addr], c)
	if len(k.idle[c.addr]) == 0 {
		delete(k.idle, c.addr)
	}
}

// newest returns for how long the connection to an address has been idle that was used
// last, which the transport uses next. Ok is false if there is none.
func (k *keptConns) newest(addr string) (idle time.Duration, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for _, since := range k.idle[addr] {
		if d := now.Sub(since); !ok || d < idle {
			idle, ok = d, true
		}
	}
	return idle, ok
}

// IdleConn returns for how long the kept connection to a server has been idle that was used
// last. Ok is false if there is none.
func (b *Backend) IdleConn(addr netip.AddrPort) (idle time.Duration, ok bool) {
	return b.kept.newest(addr.String())
}
