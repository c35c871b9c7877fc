package tdowner

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
)

const (
	loadTimeout = 400 * time.Millisecond
	// loadReads bounds the reads that run at once.
	loadReads = 32
)

// Poll reads the load of this node's servers until ctx ends. It probes a
// server that is down, and reads again at once one that refused a request.
func (o *Owner) Poll(ctx context.Context) error {
	t := time.NewTicker(pollTick)
	defer t.Stop()
	reads := pool.New().WithMaxGoroutines(loadReads)
	defer reads.Wait()
	for {
		o.mu.Lock()
		due := o.book.Due(o.Clock.Now(), o.opt.PollEvery)
		o.mu.Unlock()
		for _, s := range due {
			reads.Go(func() { o.read(ctx, s) })
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (o *Owner) read(ctx context.Context, s tarragondeal.Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := o.Loads.Load(ctx, s)
	o.mu.Lock()
	before := o.book.Usable(s.ID)
	o.book.Probed(o.Clock.Now(), s.ID, l, alive(err))
	after := o.book.Usable(s.ID)
	o.mu.Unlock()
	if before != after {
		o.Log.Warn().Err(err).Str("server", string(s.ID)).Bool("usable", after).Bool("leaving", l.Leaving).
			Msg("backend server changed")
	}
}

// alive reports whether a server answered, be it that it has no report.
func alive(err error) bool {
	var answered *tarragondeal.PlatformError
	return err == nil || errors.As(err, &answered) && answered.Status != 0
}
