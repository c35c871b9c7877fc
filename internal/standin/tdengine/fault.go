package tdengine

import (
	"bytes"
)

// Fault is a fault of one answer.
type Fault int

// The faults of answers.
const (
	FaultNone    Fault = iota
	FaultWrongID       // The answer has the id of another request.
	FaultShort         // The stream ends early, without an end marker.
	FaultCut           // The connection breaks in the middle.
	FaultHang          // The engine never answers.
)

// faults is the state of the injected faults.
type faults struct {
	kind     Fault
	every    int // Every n-th answer is faulty; zero for none.
	answers  int
	slowdown float64 // Factor by which all work takes longer.
	crashed  chan struct{}
	leaving  bool
	crashes  int
}

func newFaults() faults {
	return faults{slowdown: 1, crashed: make(chan struct{})}
}

// InjectFault makes every n-th answer faulty. Zero stops it.
func (e *Engine) InjectFault(kind Fault, every int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.kind, e.faults.every, e.faults.answers = kind, every, 0
}

func (e *Engine) nextFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.answers++
	if e.faults.every > 0 && e.faults.answers%e.faults.every == 0 {
		return e.faults.kind
	}
	return FaultNone
}

// Straggle slows the engine down by a factor; 1 is its usual speed.
func (e *Engine) Straggle(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.slowdown = factor
}

func (e *Engine) slowdown() (crashed <-chan struct{}, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crashed, e.faults.slowdown
}

// SetLeaving sets whether the load report says that the engine is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.leaving = leaving
}

// Crash breaks every running answer and clears the cache and the resumable
// streams.
func (e *Engine) Crash() {
	e.mu.Lock()
	close(e.faults.crashed)
	e.faults.crashed = make(chan struct{})
	e.faults.crashes++
	e.resumable = make(map[string]request)
	e.mu.Unlock()
	e.cache.clear()
	if e.opt.OnCrash != nil {
		go e.opt.OnCrash()
	}
}

// Crashes returns how often the engine crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crashes
}

func (e *Engine) crashes(body []byte) bool {
	m := e.opt.CrashMarker
	return m != "" && bytes.Contains(body, []byte(m))
}
