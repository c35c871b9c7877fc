// Package tdtask runs the background tasks of a process, each in its own
// goroutine, and reports the end of each task to the owner of the group.
//
// # Usage
//
//	g := tdtask.New(ctx)
//	g.Go("watch config", cfg.Run)
//	for end := range g.Ends() {
//		// end.Name, end.Err
//	}
//
// A task that panics ends with an error and does not crash the process.
package tdtask

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// endsBuffer is how many ends are buffered until the owner reads them.
const endsBuffer = 64

// End reports the end of a task.
type End struct {
	Name string
	Err  error // Nil when the task returned no error.
}

// Group runs tasks until its context ends.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	ends   chan End
}

// New returns a group whose tasks end with ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, ends: make(chan End, endsBuffer)}
}

// Go starts a task.
func (g *Group) Go(name string, task func(context.Context) error) {
	g.wg.Go(func() {
		var c panics.Catcher
		var err error
		c.Try(func() { err = task(g.ctx) })
		if r := c.Recovered(); r != nil {
			err = eris.Errorf("task %s panicked: %s", name, r.String())
		}
		g.ends <- End{Name: name, Err: err}
	})
}

// Ends returns the channel on which the end of each task is reported. The owner
// reads it until Close closes it.
func (g *Group) Ends() <-chan End { return g.ends }

// Stop cancels the context of all tasks. It does not wait for them.
func (g *Group) Stop() { g.cancel() }

// Close stops the tasks, waits for them and closes the channel of ends. The
// owner must keep reading that channel meanwhile.
func (g *Group) Close() {
	g.cancel()
	g.wg.Wait()
	close(g.ends)
}
