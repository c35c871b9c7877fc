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
	// maxLoadReads is the maximum number of concurrent load reads.
	maxLoadReads = 32
)

// Poll reads the load of this node's servers until ctx is done. It also probes
// servers that are down, and reads a server's load at once after it has refused a
// request.
func (o *Owner) Poll(ctx context.Context) error {
	t := time.NewTicker(pollTickInterval)
	defer t.Stop()
	reads := pool.New().WithMaxGoroutines(maxLoadReads)
	defer reads.Wait()
	for {
		o.mu.Lock()
		due := o.table.Due(o.Clock.Now(), o.opt.PollEvery)
		o.mu.Unlock()
		for _, s := range due {
			reads.Go(func() { o.readLoad(ctx, s) })
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (o *Owner) readLoad(ctx context.Context, s tarragondeal.Server) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := o.Loads.Load(ctx, s)
	o.mu.Lock()
	before := o.table.Usable(s.ID)
	o.table.UpdateLoad(o.Clock.Now(), s.ID, l, alive(err))
	after := o.table.Usable(s.ID)
	o.mu.Unlock()
	if before != after {
		o.Log.Warn().Err(err).Str("server", string(s.ID)).Bool("usable", after).Bool("leaving", l.Leaving).
			Msg("usability of backend server changed")
	}
}

// alive reports whether a server answered, even if with an error status.
func alive(err error) bool {
	var answered *tarragondeal.PlatformError
	return err == nil || errors.As(err, &answered) && answered.Status != 0
}
