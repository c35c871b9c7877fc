package tdpass

import "sync"

// workspaceShare is the share of a Room that one workspace may take.
const workspaceShare = 0.5

// Room bounds the memory that requests take together, and the part of it that the requests
// of one workspace take. The part is never exceeded, since what is taken can't be reclaimed
// when another workspace needs it. It is safe for concurrent use.
type Room struct {
	mu    sync.Mutex
	limit int64
	taken int64
	by    map[string]int64 // Per workspace; no entry is zero.
}

// NewRoom returns a Room of limit bytes.
func NewRoom(limit int64) *Room { return &Room{limit: limit, by: make(map[string]int64)} }

// SetLimit changes the size of the room. What is taken stays taken.
func (m *Room) SetLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Take reports whether a workspace may take n more bytes. If so, Free must return them.
func (m *Room) Take(workspace string, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.taken+n > m.limit || m.by[workspace]+n > int64(workspaceShare*float64(m.limit)) {
		return false
	}
	m.taken += n
	if n > 0 {
		m.by[workspace] += n
	}
	return true
}

// Free returns n bytes.
func (m *Room) Free(workspace string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.taken -= n
	if m.by[workspace] -= n; m.by[workspace] == 0 {
		delete(m.by, workspace)
	}
}

// Taken returns the number of bytes that are taken.
func (m *Room) Taken() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.taken
}
