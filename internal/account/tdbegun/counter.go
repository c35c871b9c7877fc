package tdbegun

import (
	"maps"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// Topic names the section of a node's state that holds the counts.
const Topic = "begun"

const (
	// keepWindows is the number of windows kept. Windows are reported long
	// before they are dropped.
	keepWindows = 8
	// sendWindows is the number of latest windows sent to other nodes. Earlier
	// ones are sent unless they are closed.
	sendWindows = 3
)

// Process identifies one run of a node's program.
type Process struct {
	Node        tarragondeal.NodeID
	Incarnation uint64
}

// counts holds the number of requests that began, by window and workspace.
type counts struct {
	windows   map[int64]map[string]int64
	changedAt uint64 // Number of the last change; the changes of all processes are numbered.
}

func newCounts() *counts { return &counts{windows: make(map[int64]map[string]int64)} }

// Counter counts for one process and keeps the counts of others. It is safe for
// concurrent use.
type Counter struct {
	self   Process
	length time.Duration
	wall   func() time.Time
	alive  func(Process) bool

	mu           sync.Mutex
	byProcess    map[Process]*counts
	receivedFrom map[Process]tarragondeal.NodeID // The node that last sent a process's counts.
	changes      uint64
	closed       map[closing]*closedWindow
	// closedNumbers holds the windows in closed.
	closedNumbers map[int64]bool
	dropped       int64 // The window that was current when old ones were last dropped.
}

// NewCounter returns a counter for windows of the given length. The function
// wall returns the time that most nodes agree on. The function alive reports
// whether a process is alive, and so sends its counts itself.
func NewCounter(self Process, length time.Duration, wall func() time.Time, alive func(Process) bool) *Counter {
	return &Counter{
		self: self, length: length, wall: wall, alive: alive,
		byProcess: map[Process]*counts{self: newCounts()}, receivedFrom: make(map[Process]tarragondeal.NodeID),
		closed: make(map[closing]*closedWindow), closedNumbers: make(map[int64]bool),
	}
}

// Window returns the number of the current window.
func (c *Counter) Window() int64 { return c.wall().UnixNano() / int64(c.length) }

// Began counts a request that begins to run now. Requests without a workspace
// are not counted.
func (c *Counter) Began(workspace string) {
	if workspace == "" {
		return // Requests on open routes belong to no workspace.
	}
	window := c.Window()
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.byProcess[c.self]
	c.raise(own, window, workspace, own.windows[window][workspace]+1)
	c.dropOld(window)
}

// raise sets a count of a process to n unless it is larger.
func (c *Counter) raise(counted *counts, window int64, workspace string, n int64) {
	w := counted.windows[window]
	if w == nil {
		w = make(map[string]int64)
		counted.windows[window] = w
	}
	if n > w[workspace] {
		w[workspace] = n
		c.changes++
		counted.changedAt = c.changes
	}
}

// dropOld drops the windows that are too old to be reported, and processes
// without any windows left.
func (c *Counter) dropOld(now int64) {
	c.dropped = now
	for p, counted := range c.byProcess {
		for number := range counted.windows {
			if number < now-keepWindows {
				delete(counted.windows, number)
			}
		}
		if len(counted.windows) == 0 && p != c.self {
			delete(c.byProcess, p)
			delete(c.receivedFrom, p)
		}
	}
	maps.DeleteFunc(c.closed, func(k closing, _ *closedWindow) bool { return k.number < now-keepWindows })
	maps.DeleteFunc(c.closedNumbers, func(number int64, _ bool) bool { return number < now-keepWindows })
}

// Sum returns the counts of a window by workspace, summed over all processes.
func (c *Counter) Sum(window int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64)
	for _, counted := range c.byProcess {
		for workspace, n := range counted.windows[window] {
			out[workspace] += n
		}
	}
	return out
}

// countKey identifies one count on a stream.
type countKey struct {
	process   Process
	window    int64
	workspace string
}

// Writer returns a function for the stream to one other node. It returns the
// encoded counts that have changed since its last call: this process's own, those
// received from nodes for which forwards returns true, and those of processes
// that are no longer alive. Closed windows are sent in the same way, and all that
// are known with the first call.
func (c *Counter) Writer() func(forwards func(tarragondeal.NodeID) bool) []byte {
	sent := make(map[countKey]int64)
	taken := make(map[Process]uint64) // The last change of each process when its counts were taken.
	var sentClosed map[closing]stage  // Nil before the first call.
	var before int64
	return func(forwards func(tarragondeal.NodeID) bool) []byte {
		now := c.Window()
		c.mu.Lock()
		defer c.mu.Unlock()
		m := &Begun{}
		for p, counted := range c.byProcess {
			if counted.changedAt == taken[p] || p != c.self && !forwards(c.receivedFrom[p]) && c.alive(p) {
				continue
			}
			taken[p] = counted.changedAt
			if s := c.takeChanged(p, counted.windows, now, sent); s != nil {
				m.Sources = append(m.Sources, s)
			}
		}
		m.Closed, sentClosed = c.takeClosed(sentClosed, forwards)
		if now != before {
			before = now
			c.forget(sent, taken, now)
		}
		if len(m.Sources) == 0 && len(m.Closed) == 0 {
			return nil
		}
		out, err := proto.Marshal(m)
		if err != nil {
			return nil // Can't happen: names of workspaces are valid UTF-8.
		}
		return out
	}
}

// isSent reports whether the counts of a window are sent to other nodes.
func (c *Counter) isSent(number, now int64) bool {
	return number > now-sendWindows || number >= now-keepWindows && !c.closedNumbers[number]
}

// forget deletes what is not needed any more of the state of one stream.
func (c *Counter) forget(sent map[countKey]int64, taken map[Process]uint64, now int64) {
	for e := range sent {
		if !c.isSent(e.window, now) {
			delete(sent, e)
		}
	}
	for p := range taken {
		if c.byProcess[p] == nil {
			delete(taken, p)
		}
	}
}

// takeChanged returns the counts of a process that differ from those sent, and
// records them as sent. It returns nil if there are none.
func (c *Counter) takeChanged(p Process, windows map[int64]map[string]int64, now int64, sent map[countKey]int64) *Source {
	var out *Source
	for number, counts := range windows {
		if !c.isSent(number, now) {
			continue
		}
		var w *Window
		for workspace, n := range counts {
			e := countKey{process: p, window: number, workspace: workspace}
			if sent[e] == n {
				continue
			}
			if w == nil {
				w = &Window{Number: number, Counts: make(map[string]int64)}
			}
			sent[e] = n
			w.Counts[workspace] = n
		}
		if w == nil {
			continue
		}
		if out == nil {
			out = &Source{Node: string(p.Node), Incarnation: p.Incarnation}
		}
		out.Windows = append(out.Windows, w)
	}
	return out
}

// Receive merges the counts that another node sent. It reports whether the payload
// could be decoded.
func (c *Counter) Receive(from tarragondeal.NodeID, payload []byte) bool {
	var m Begun
	if err := proto.Unmarshal(payload, &m); err != nil {
		return false
	}
	now := c.Window()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range m.GetSources() {
		p := Process{Node: tarragondeal.NodeID(s.GetNode()), Incarnation: s.GetIncarnation()}
		if p == c.self {
			continue
		}
		if c.byProcess[p] == nil {
			c.byProcess[p] = newCounts()
		}
		c.receivedFrom[p] = from
		for _, w := range s.GetWindows() {
			for workspace, n := range w.GetCounts() {
				c.raise(c.byProcess[p], w.GetNumber(), workspace, n)
			}
		}
	}
	for _, w := range m.GetClosed() {
		c.receiveClosed(from, w)
	}
	if now != c.dropped {
		c.dropOld(now)
	}
	return true
}
