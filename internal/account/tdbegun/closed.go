package tdbegun

import (
	"cmp"
	"maps"

	"tarragondeal"
)

// closing identifies the closing of a window by one holder of the duty.
type closing struct {
	process Process
	number  int64
}

// closedWindow is a window whose sums a holder of the duty has written to the store.
type closedWindow struct {
	sums     map[string]int64    // Never changed.
	fence    uint64              // Of the holder.
	reported bool                // The platform has accepted the report.
	sent     bool                // This process has sent the sums to the platform.
	from     tarragondeal.NodeID // The node that sent it to this one.
}

// stage is what a stream has carried of a closing.
type stage int

const (
	stageNone stage = iota
	stageClosed
	stageReported
)

func (w *closedWindow) stage() stage {
	if w.reported {
		return stageReported
	}
	return stageClosed
}

// Close records that this process has written the sums of a window to the store, or
// has found them there. The caller must not change sums afterwards.
func (c *Counter) Close(number int64, sums map[string]int64, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addClosed(closing{process: c.self, number: number}, &closedWindow{sums: sums, fence: fence})
}

// addClosed adds a closing unless it is known, and returns the one that is known then.
func (c *Counter) addClosed(k closing, w *closedWindow) *closedWindow {
	if known := c.closed[k]; known != nil {
		return known
	}
	c.closed[k] = w
	c.closedNumbers[k.number] = true
	return w
}

// Closed returns the sums with which a window must be reported, or nil if this node
// knows of none. Holders that did not know of each other may have closed a window with
// different sums; those are returned that the platform is known or likely to have.
func (c *Counter) Closed(number int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, w := c.decisive(number); w != nil {
		return w.sums
	}
	return nil
}

// decisive returns the closing of a window whose sums are to be used, or nil.
func (c *Counter) decisive(number int64) (closing, *closedWindow) {
	var key closing
	var best *closedWindow
	for k, w := range c.closed {
		if k.number == number && (best == nil || compareClosings(k, w, key, best) < 0) {
			key, best = k, w
		}
	}
	return key, best
}

// compareClosings returns a negative number if w decides, and a positive one if v does.
// It is the one that the platform has accepted, or else that this process has sent to
// it, or else the earlier one, which its holder had more time to send.
func compareClosings(wk closing, w *closedWindow, vk closing, v *closedWindow) int {
	return cmp.Or(
		compareBool(v.reported, w.reported),
		compareBool(v.sent, w.sent),
		cmp.Compare(w.fence, v.fence),
		cmp.Compare(wk.process.Node, vk.process.Node),
		cmp.Compare(wk.process.Incarnation, vk.process.Incarnation),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// isReported reports whether the platform is known to have accepted the report of a
// window.
func (c *Counter) isReported(number int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, w := c.decisive(number)
	return w != nil && w.reported
}

// startReport records that this process sends the sums of a window to the platform. It
// returns false if other sums are to be sent, or none.
func (c *Counter) startReport(number int64, sums map[string]int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, w := c.decisive(number)
	if w == nil || !maps.Equal(w.sums, sums) {
		return false
	}
	w.sent = true
	return true
}

// endReport records that the platform has accepted the report of a window from this
// process.
func (c *Counter) endReport(number int64, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, w := c.decisive(number)
	if w == nil {
		return // Dropped meanwhile.
	}
	w.reported = true
	if k.process != c.self {
		c.addClosed(closing{process: c.self, number: number}, &closedWindow{sums: w.sums, fence: fence, reported: true})
	}
}

// takeClosed returns the closed windows that a stream has not carried, and what it has
// carried then. Sent is nil if it has carried nothing.
func (c *Counter) takeClosed(sent map[closing]stage, forwards func(tarragondeal.NodeID) bool) ([]*Closed, map[closing]stage) {
	first := sent == nil
	if first {
		sent = make(map[closing]stage)
	}
	var out []*Closed
	for k, w := range c.closed {
		if sent[k] >= w.stage() || k.process != c.self && !first && !forwards(w.from) && c.alive(k.process) {
			continue
		}
		m := &Closed{
			Node: string(k.process.Node), Incarnation: k.process.Incarnation, Number: k.number, Fence: w.fence, Reported: w.reported,
		}
		if sent[k] == stageNone {
			m.Sums = w.sums
		}
		sent[k] = w.stage()
		out = append(out, m)
	}
	for k := range sent {
		if c.closed[k] == nil {
			delete(sent, k)
		}
	}
	return out, sent
}

// receiveClosed records a closed window that another node sent.
func (c *Counter) receiveClosed(from tarragondeal.NodeID, m *Closed) {
	k := closing{process: Process{Node: tarragondeal.NodeID(m.GetNode()), Incarnation: m.GetIncarnation()}, number: m.GetNumber()}
	if k.process == c.self || c.closed[k] == nil && len(m.GetSums()) == 0 {
		return
	}
	w := c.addClosed(k, &closedWindow{sums: m.GetSums(), fence: m.GetFence(), from: from})
	if from == k.process.Node {
		w.from = from // Others send it when their streams begin, also to its relay.
	}
	w.reported = w.reported || m.GetReported()
}
