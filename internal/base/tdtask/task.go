// Package tdtask runs the duties of a process, one goroutine for each, and
// reports the end of every one to its owner.
//
// # Usage
//
//	g := tdtask.New(ctx)
//	g.Go("watch config", cfg.Run)
//	for end := range g.Ends() {
//		// end.Name, end.Err
//	}
//
// A duty that panics ends with an error and does not take the process down.
package tdtask

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// endsBuffer is how many ends are kept for an owner that is busy.
const endsBuffer = 64

// End says that a duty is over.
type End struct {
	Name string
	Err  error // Nil when the duty ended as asked.
}

// Group runs duties until its context ends.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup
	ends   chan End
}

// New returns a group whose duties end with ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, ends: make(chan End, endsBuffer)}
}

// Go starts a duty.
func (g *Group) Go(name string, duty func(context.Context) error) {
	g.wg.Go(func() {
		var c panics.Catcher
		var err error
		c.Try(func() { err = duty(g.ctx) })
		if r := c.Recovered(); r != nil {
			err = eris.Errorf("duty %s panicked: %s", name, r.String())
		}
		g.ends <- End{Name: name, Err: err}
	})
}

// Ends returns the channel on which each duty's end is reported. The owner
// reads it until Close closes it.
func (g *Group) Ends() <-chan End { return g.ends }

// Stop asks every duty to end.
func (g *Group) Stop() { g.cancel() }

// Close stops the duties, waits for them and closes the channel of ends.
// The owner keeps reading ends meanwhile.
func (g *Group) Close() {
	g.cancel()
	g.wg.Wait()
	close(g.ends)
}
