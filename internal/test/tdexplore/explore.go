// Package tdexplore is a small model checker: it runs concurrent protocols
// through every order of their steps and every outcome of each step, within
// the bounds that the test sets on faults.
//
// # Usage
//
//	runs := tdexplore.All(func(c *tdexplore.Choices) bool {
//		a := tdexplore.Start(func(call func(any) any) { ... })
//		for !a.Done() {
//			switch c.Choose(2) { ... }
//		}
//	})
//
// The code under test runs unchanged: each of its processes is a coroutine
// that stops at every external call, where the test chooses what happens next.
// Each sequence of choices is run from the start, so the code must be
// deterministic apart from the results of its calls.
package tdexplore

import "iter"

// Choices is the sequence of choices of a run. Each run of All has another
// one.
type Choices struct {
	taken  []int
	limits []int
	pos    int
}

// Choose returns a number in [0, n). Over all runs of All it returns each of
// them.
func (c *Choices) Choose(n int) int {
	if c.pos == len(c.taken) {
		c.taken = append(c.taken, 0)
		c.limits = append(c.limits, n)
	}
	k := c.taken[c.pos]
	c.pos++
	return k
}

// Taken returns the choices made so far, for reports of failed runs.
func (c *Choices) Taken() []int { return append([]int(nil), c.taken[:c.pos]...) }

func (c *Choices) next() bool {
	for n := len(c.taken) - 1; n >= 0; n-- {
		if c.taken[n]+1 < c.limits[n] {
			c.taken = c.taken[:n+1]
			c.limits = c.limits[:n+1]
			c.taken[n]++
			c.pos = 0
			return true
		}
	}
	return false
}

// All calls run once for each sequence of choices, until run returns false.
// It returns the number of runs.
func All(run func(c *Choices) bool) int {
	c := &Choices{}
	for n := 1; ; n++ {
		if !run(c) || !c.next() {
			return n
		}
	}
}

// Process is a coroutine that stops at each external call.
type Process struct {
	next   func() (any, bool)
	stop   func()
	call   any
	answer any
	done   bool
}

// killed is the panic value that unwinds a killed process.
type killed struct{}

// Start runs body until its first external call. Body makes these through
// call, whose result is the argument of Answer.
func Start(body func(call func(any) any)) *Process {
	p := &Process{}
	p.next, p.stop = iter.Pull(func(yield func(any) bool) {
		defer func() {
			if r := recover(); r != nil {
				if _, ok := r.(killed); !ok {
					panic(r)
				}
			}
		}()
		body(func(call any) any {
			if !yield(call) {
				panic(killed{})
			}
			return p.answer
		})
	})
	p.step()
	return p
}

func (p *Process) step() {
	call, ok := p.next()
	p.call, p.done = call, !ok
}

// Done reports whether the process has ended.
func (p *Process) Done() bool { return p.done }

// Call returns the call that the process is waiting for.
func (p *Process) Call() any { return p.call }

// Answer returns answer from the current call and runs the process until its
// next one.
func (p *Process) Answer(answer any) {
	p.answer = answer
	p.step()
}

// Kill ends the process during its current call.
func (p *Process) Kill() {
	p.stop()
	p.done = true
}
