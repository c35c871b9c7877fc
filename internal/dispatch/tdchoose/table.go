// Package tdchoose ranks the backend servers that may run a request, by the hints
// that one node has about them.
//
// # Usage
//
//	t := tdchoose.New()
//	t.Update(servers, pools)
//	t.Hint(now, hint)
//	var best [3]tdchoose.Choice
//	n := t.Choose(now, &query, best[:])
//
// Hints are delayed and incomplete, so the owner of a server makes the final
// decision. The ranking only saves calls to the wrong owners.
package tdchoose

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// hintTTL is how long a hint is used.
const hintTTL = 3 * time.Second

// unusableTTL is how long a server that was reported as unusable is not tried
// again.
const unusableTTL = time.Second

// Pool holds the settings of a pool that the ranking needs.
type Pool struct {
	Slots       int
	Reclaimable bool
}

// Hint is the state of a server as reported by its owner.
type Hint struct {
	Server   tarragondeal.ServerID
	Free     int
	Running  int
	Capacity int
	Promised int // Running requests whose class has a target.
	Wait     time.Duration
	Unusable bool
}

// entry is the known state of one server.
type entry struct {
	server          tarragondeal.Server
	hash            uint64
	slots           int
	reclaimable     bool
	hint            Hint
	hintAt          tarragondeal.Instant
	hasHint         bool
	grantsSinceHint int // Grants of this node since the hint, less those that ended.
	running         int // Open grants of this node.
	factor          float64
	perSlot         float64 // 1/slots.
	perCapacity     float64 // 1/capacity of the hint.

	// Computed by refresh.
	free        int
	use         float64
	down, fresh bool
}

// poolKey identifies a pool's servers in one data centre.
type poolKey struct{ pool, dataCentre string }

// Table holds the state of all servers as known to one node. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[tarragondeal.ServerID]*entry
	pools   map[poolKey][]*entry
	random  uint64 // State of a linear congruential generator.
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[tarragondeal.ServerID]*entry), pools: make(map[poolKey][]*entry), random: 1}
}

// Update sets the list of servers. Leaving servers are not chosen.
func (t *Table) Update(servers []tarragondeal.Server, pool func(string) Pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries
	t.entries = make(map[tarragondeal.ServerID]*entry, len(servers))
	clear(t.pools)
	for _, s := range servers {
		e, ok := old[s.ID]
		if !ok {
			e = &entry{hash: xxhash.Sum64String(string(s.ID)), factor: 1}
		}
		p := pool(s.Pool)
		e.server, e.slots, e.reclaimable = s, max(1, p.Slots), p.Reclaimable
		e.perSlot = 1 / float64(e.slots)
		t.entries[s.ID] = e
		if s.State != tarragondeal.VMLeaving {
			k := poolKey{s.Pool, s.DataCentre}
			t.pools[k] = append(t.pools[k], e)
		}
	}
}

// Hint records a hint from an owner.
func (t *Table) Hint(now tarragondeal.Instant, h Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[h.Server]; ok {
		e.hint, e.hintAt, e.hasHint, e.grantsSinceHint = h, now, true, 0
		e.perCapacity = 1 / float64(max(1, h.Capacity))
	}
}

// SetFactor sets a server's rate relative to its pool's.
func (t *Table) SetFactor(id tarragondeal.ServerID, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		e.factor = factor
	}
}

// Started counts a new grant of this node.
func (t *Table) Started(id tarragondeal.ServerID) { t.count(id, 1) }

// Ended counts an ended grant of this node.
func (t *Table) Ended(id tarragondeal.ServerID) { t.count(id, -1) }

func (t *Table) count(id tarragondeal.ServerID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		e.running += n
		e.grantsSinceHint += n
	}
}

// Server returns a server of the list.
func (t *Table) Server(id tarragondeal.ServerID) (tarragondeal.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return tarragondeal.Server{}, false
	}
	return e.server, true
}

// Len returns the number of servers in the list.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
