package tdfit

import (
	"slices"
	"strconv"
	"time"
)

const (
	// connectCost is added for a server to which this node has no kept connection that the
	// request may use: the handshake and the server's part of it.
	connectCost = 5 * time.Millisecond
	// maxConnIdle is how long a connection may have been idle that is used for a request which
	// may run once. Servers close idle connections after a second at least, and what is sent
	// on one that its server closes may have run.
	maxConnIdle = time.Second
	// maxUsed bounds the servers of a large pool that are compared because this node has used
	// them last.
	maxUsed = 16
)

// maxIdle returns how long a connection to a server of a pool may have been idle that is used
// for a request which may run once, or zero if such requests get connections of their own.
func (f *Fit) maxIdle(pool string) time.Duration {
	if !f.isAdaptive(pool) {
		return 0
	}
	return maxConnIdle
}

// connectCost returns the cost of connecting to a server of an adaptive pool.
func (f *Fit) connectCost(r *request, s *server) time.Duration {
	if !f.isAdaptive(s.Pool) || f.IdleConn == nil {
		return 0
	}
	if idle, ok := f.IdleConn(s.Addr); ok && (r.ask.Idempotent || idle <= maxConnIdle) {
		return 0
	}
	return connectCost
}

// recordUsed records that this node uses a server of an adaptive pool for a request.
func (f *Fit) recordUsed(r *request, s *server) {
	if !f.isAdaptive(s.Pool) {
		return
	}
	f.Scope.Tagged(map[string]string{
		"kept": strconv.FormatBool(f.connectCost(r, s) == 0), "idempotent": strconv.FormatBool(r.ask.Idempotent),
	}).Counter("connections").Inc(1)
	used := slices.DeleteFunc(f.used[s.Pool], func(o *server) bool { return o == s })
	used = slices.Insert(used, 0, s)
	clear(used[min(len(used), maxUsed):])
	f.used[s.Pool] = used[:min(len(used), maxUsed)]
}

// keptServers returns the servers of an adaptive pool that this node has used last.
func (f *Fit) keptServers(pool string) []*server {
	return slices.DeleteFunc(slices.Clone(f.used[pool]), func(s *server) bool { return f.servers[s.ID] != s })
}
