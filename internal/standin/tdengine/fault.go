package tdengine

import (
	"bytes"
)

// Fault is something that goes wrong with one answer.
type Fault int

// The faults of answers.
const (
	FaultNone    Fault = iota
	FaultWrongID       // The answer carries another request's id.
	FaultShort         // The stream ends early without an end marker.
	FaultCut           // The connection breaks in the middle.
	FaultNever         // No answer comes.
)

// faults is what the engine has been told to do wrong.
type faults struct {
	kind    Fault
	every   int // Every n-th answer is hit.
	answers int
	factor  float64 // How much slower than usual the engine works.
	crashed chan struct{}
	leaving bool
	crashes int
}

func newFaults() faults {
	return faults{factor: 1, crashed: make(chan struct{})}
}

// Fail makes every n-th answer go wrong; zero stops it.
func (e *Engine) Fail(kind Fault, every int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.kind, e.faults.every, e.faults.answers = kind, every, 0
}

func (e *Engine) fault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.answers++
	if e.faults.every > 0 && e.faults.answers%e.faults.every == 0 {
		return e.faults.kind
	}
	return FaultNone
}

// Straggle makes the engine work slower by a factor; 1 is its usual speed.
func (e *Engine) Straggle(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.factor = factor
}

func (e *Engine) pace() (crashed <-chan struct{}, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.crashed, e.faults.factor
}

// Leave makes the engine say in its load report that it is leaving.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.leaving = leaving
}

// Crash breaks every running answer and loses the cache and what was kept
// for resuming.
func (e *Engine) Crash() {
	e.mu.Lock()
	close(e.faults.crashed)
	e.faults.crashed = make(chan struct{})
	e.faults.crashes++
	e.kept = make(map[string]request)
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
