// Package tdchoose ranks the backend servers that may run a request, by what
// one node knows of them.
//
// # Usage
//
//	t := tdchoose.New()
//	t.Update(servers, pools)
//	t.Hint(now, hint)
//	var best [3]tdchoose.Choice
//	n := t.Choose(now, &query, best[:])
//
// What a node knows is late and partial: the owner of a server has the last
// word. The ranking only saves asking the wrong owners.
package tdchoose

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// hintLife is how long a hint tells more than nothing.
const hintLife = 3 * time.Second

// unusableLife is how long a server that was down is not asked again.
const unusableLife = time.Second

// Pool is what matters of a pool's settings.
type Pool struct {
	Slots       int
	Reclaimable bool
}

// Hint is what an owner told of a server.
type Hint struct {
	Server   tarragondeal.ServerID
	Free     int
	Running  int
	Room     int
	Promised int // Running requests whose class has a target.
	Wait     time.Duration
	Unusable bool
}

// entry is what is known of one server.
type entry struct {
	server      tarragondeal.Server
	hash        uint64
	slots       int
	reclaimable bool
	hint        Hint
	at          tarragondeal.Instant
	known       bool
	since       int // Grants from the hint on, less the ended ones.
	running     int // This node's grants.
	factor      float64
	perSlot     float64 // One over slots, and over the hint's room.
	perRoom     float64

	// What look made of it last.
	free        int
	use         float64
	down, fresh bool
}

// place is a pool in a data centre.
type place struct{ pool, dataCentre string }

// Table is what one node knows of all servers. It is safe for concurrent
// use.
type Table struct {
	mu      sync.Mutex
	entries map[tarragondeal.ServerID]*entry
	places  map[place][]*entry
	random  uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[tarragondeal.ServerID]*entry), places: make(map[place][]*entry), random: 1}
}

// Update takes the list of servers. Leaving ones are left out.
func (t *Table) Update(servers []tarragondeal.Server, pool func(string) Pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries
	t.entries = make(map[tarragondeal.ServerID]*entry, len(servers))
	clear(t.places)
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
			k := place{s.Pool, s.DataCentre}
			t.places[k] = append(t.places[k], e)
		}
	}
}

// Hint takes what an owner told.
func (t *Table) Hint(now tarragondeal.Instant, h Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[h.Server]; ok {
		e.hint, e.at, e.known, e.since = h, now, true, 0
		e.perRoom = 1 / float64(max(1, h.Room))
	}
}

// Factor sets a server's rate over its pool's.
func (t *Table) Factor(id tarragondeal.ServerID, factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		e.factor = factor
	}
}

// Started counts a grant of this node.
func (t *Table) Started(id tarragondeal.ServerID) { t.count(id, 1) }

// Ended counts the end of a grant of this node.
func (t *Table) Ended(id tarragondeal.ServerID) { t.count(id, -1) }

func (t *Table) count(id tarragondeal.ServerID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[id]; ok {
		e.running += n
		e.since += n
	}
}

// Server returns a listed server.
func (t *Table) Server(id tarragondeal.ServerID) (tarragondeal.Server, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return tarragondeal.Server{}, false
	}
	return e.server, true
}

// Len returns how many servers are listed.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
