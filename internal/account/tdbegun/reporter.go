package tdbegun

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// recordKey is the key of the sums of the latest windows in the store.
	recordKey = "usage/windows"
	// maxRecordWindows is the number of windows that the record holds.
	maxRecordWindows = 12
	// pollInterval is the time between two checks for windows to report.
	pollInterval = 200 * time.Millisecond
	// callTimeout bounds one call of the store or the platform.
	callTimeout = time.Second
	// settleFraction and waitFraction are fractions of Options.Due. The first
	// is the earliest time after a window's end at which it is summed up; the
	// second is how long the counts of unreachable nodes are waited for.
	settleFraction = 0.2
	waitFraction   = 0.8
)

// Sink receives reports.
type Sink interface {
	ReportUsage(ctx context.Context, r tarragondeal.BegunReport) error
}

// Deps holds the dependencies of a Reporter.
type Deps struct {
	Store   tarragondeal.Store
	Sink    Sink
	Counter *Counter
	// AllAlive reports whether all known nodes are alive.
	AllAlive func() bool
	Clock    tarragondeal.Clock
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Options holds the settings of a Reporter.
type Options struct {
	Self   tarragondeal.NodeID
	Window time.Duration
	Due    time.Duration // Time after a window's end within which it must be reported.
}

// Reporter reports windows while its node holds the duty.
type Reporter struct {
	Deps
	opt Options
}

// NewReporter returns a Reporter.
func NewReporter(d Deps, o Options) *Reporter { return &Reporter{Deps: d, opt: o} }

// record is the value at recordKey. Once a window is in it, its sums never
// change, and a window that may have been dropped from it is not summed up again.
type record struct {
	Windows map[int64]map[string]int64 `json:"windows"`
	Dropped int64                      `json:"dropped,omitempty"` // The latest window that was dropped.
}

// term is one period in which this node holds the duty.
type term struct {
	r      *Reporter
	held   tarragondeal.Held
	record record
	rev    tarragondeal.Revision
	loaded bool
	sent   map[int64]bool
}

// Duty reports windows until ctx ends, which it does when the duty is lost. It
// always returns nil.
func (r *Reporter) Duty(ctx context.Context, held tarragondeal.Held) error {
	t := &term{r: r, held: held, sent: make(map[int64]bool)}
	for {
		t.reportDue(ctx)
		if !tdclock.Sleep(ctx, pollInterval) {
			return nil
		}
	}
}

// reportDue reports all windows that are due. Failures are retried at the next
// call.
func (t *term) reportDue(ctx context.Context) {
	if !t.loaded {
		t.loadRecord(ctx)
	}
	if !t.loaded {
		return
	}
	now := t.r.Counter.wall()
	open := now.UnixNano() / int64(t.r.opt.Window)
	for number := open - keepWindows; number < open; number++ {
		if t.sent[number] || !t.ready(number, now) {
			continue
		}
		sums, ok := t.record.Windows[number]
		if !ok && number <= t.record.Dropped {
			continue
		}
		if !ok {
			if sums = t.closeWindow(ctx, number); sums == nil {
				continue
			}
		}
		t.send(ctx, number, sums)
	}
}

// ready reports whether a window can be reported: its sums are in the store, or
// its counts have arrived or can't be waited for any longer.
func (t *term) ready(number int64, now time.Time) bool {
	if _, ok := t.record.Windows[number]; ok {
		return true
	}
	since := now.Sub(time.Unix(0, (number+1)*int64(t.r.opt.Window)))
	due := float64(t.r.opt.Due)
	switch {
	case since < time.Duration(settleFraction*due):
		return false
	case since < time.Duration(waitFraction*due):
		return t.r.AllAlive()
	}
	return true
}

func (t *term) loadRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := t.r.Store.Get(ctx, recordKey)
	if err != nil {
		t.r.Log.Warn().Err(err).Msg("can't read the record of reported windows")
		return
	}
	t.record = record{}
	if len(e.Value) > 0 {
		if err := json.Unmarshal(e.Value, &t.record); err != nil {
			t.r.Log.Error().Err(err).Msg("record of reported windows is invalid and will be overwritten")
		}
	}
	if t.record.Windows == nil {
		t.record.Windows = make(map[int64]map[string]int64)
	}
	t.rev, t.loaded = e.Revision, true
}

// closeWindow writes a window's sums to the store and returns them. It returns
// nil if the window is empty or the write is not known to have succeeded.
func (t *term) closeWindow(ctx context.Context, number int64) map[string]int64 {
	sums := t.r.Counter.Sum(number)
	if len(sums) == 0 {
		t.sent[number] = true // No request began, so there is nothing to report.
		return nil
	}
	next := record{Windows: maps.Clone(t.record.Windows), Dropped: t.record.Dropped}
	next.Windows[number] = sums
	numbers := slices.Sorted(maps.Keys(next.Windows))
	for _, old := range numbers[:max(0, len(numbers)-maxRecordWindows)] {
		delete(next.Windows, old)
		next.Dropped = max(next.Dropped, old)
	}
	value, err := json.Marshal(next)
	if err != nil {
		t.r.Log.Error().Err(err).Msg("can't encode the record of reported windows")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := t.r.Store.Swap(ctx, recordKey, value, t.rev)
	if err != nil {
		// The write may have been applied, or another holder may have written:
		// load the record again.
		t.loaded = false
		t.r.Log.Warn().Err(err).Int64("window", number).Msg("window not written to the store")
		return nil
	}
	t.record, t.rev = next, e.Revision
	t.r.Log.Info().Int64("window", number).Int("workspaces", len(sums)).Uint64("fence", t.held.Fence()).Msg("window closed")
	return sums
}

// send reports a window. If the lease may end before the call does, it leaves the
// window for a later call, by which time the lease is renewed or the duty lost.
func (t *term) send(ctx context.Context, number int64, sums map[string]int64) {
	if err := t.held.Check(callTimeout); err != nil {
		t.r.Log.Info().Err(err).Int64("window", number).Uint64("fence", t.held.Fence()).Msg("report postponed: the lease may end before the call does")
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.r.Sink.ReportUsage(call, tarragondeal.BegunReport{
		Window: number, Begun: sums, Fence: t.held.Fence(), Sender: t.r.opt.Self,
	})
	var refused *tarragondeal.PlatformError
	switch {
	case err == nil:
		t.sent[number] = true
		t.r.Scope.Counter("reported").Inc(1)
		t.r.Log.Info().Int64("window", number).Uint64("fence", t.held.Fence()).Msg("window reported")
	case errors.As(err, &refused) && refused.Status != 0:
		t.r.Log.Warn().Err(err).Int64("window", number).Uint64("fence", t.held.Fence()).Msg("report refused, will be sent again")
	default:
		t.r.Log.Warn().Err(err).Int64("window", number).Uint64("fence", t.held.Fence()).Msg("report not answered, will be sent again")
	}
}
