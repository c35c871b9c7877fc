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
	// RemembersSince returns since when the nodes have exchanged which windows are
	// closed, or the zero time if that goes back to the first start of the deployment.
	RemembersSince func() time.Time
	// Era returns the era of the store.
	Era   func() tarragondeal.Era
	Clock tarragondeal.Clock
	Log   zerolog.Logger
	Scope tally.Scope
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
// change while the store keeps it, and a window that may have been dropped from it
// is not summed up again.
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
	era    tarragondeal.Era // In which the record was loaded.
	loaded bool
	empty  map[int64]bool // Windows in which no request began.
	logged map[int64]bool // Windows that are not reported.
}

func (r *Reporter) newTerm(held tarragondeal.Held) *term {
	return &term{r: r, held: held, empty: make(map[int64]bool), logged: make(map[int64]bool)}
}

// Duty reports windows until ctx ends, which it does when the duty is lost. It
// always returns nil.
func (r *Reporter) Duty(ctx context.Context, held tarragondeal.Held) error {
	t := r.newTerm(held)
	for {
		t.reportDue(ctx)
		if !tdclock.Sleep(ctx, pollInterval) {
			return nil
		}
	}
}

// reportDue reports all windows that are due and known as closed, and closes those
// that are not. These are reported by a later call, when other nodes know of them
// too. Failures are retried at the next call.
func (t *term) reportDue(ctx context.Context) {
	if !t.loaded || t.era != t.r.Era() {
		t.loadRecord(ctx)
	}
	now := t.r.Counter.wall()
	open := now.UnixNano() / int64(t.r.opt.Window)
	if !t.loaded || !t.reconcile(ctx, open) {
		return
	}
	for number := open - keepWindows; number < open; number++ {
		if _, ok := t.record.Windows[number]; ok {
			t.send(ctx, number)
		} else if number > t.record.Dropped && !t.empty[number] && t.ready(number, now) && !t.isForgotten(number) {
			t.closeWindow(ctx, number)
		}
	}
}

// reconcile makes the record and what the nodes know agree. What the nodes know
// decides: in one history of the store they never differ, and a record of a later one
// was written by a holder that did not know of the closing before. It reports whether
// windows may be reported.
func (t *term) reconcile(ctx context.Context, open int64) bool {
	next, changed, learned := maps.Clone(t.record.Windows), false, false
	for number := open - keepWindows; number < open; number++ {
		recorded, ok := t.record.Windows[number]
		sums := t.r.Counter.Closed(number)
		switch {
		case sums == nil && ok:
			t.r.Counter.Close(number, recorded, t.held.Fence())
			learned = true
		case sums != nil && number > t.record.Dropped && !maps.Equal(sums, recorded):
			t.r.Log.Warn().Int64("window", number).Bool("recorded", ok).Uint64("fence", t.held.Fence()).
				Msg("the record lacks the sums of a window that nodes know, and gets them again")
			next[number], changed = sums, true
		}
	}
	if changed {
		t.writeRecord(ctx, next)
	}
	return !changed && !learned
}

// ready reports whether a window can be summed up: its counts have arrived or can't
// be waited for any longer.
func (t *term) ready(number int64, now time.Time) bool {
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
	t.loaded, t.era = false, t.r.Era()
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

// isForgotten reports whether a window may have been reported by a node that no other
// one knows of any more: it ended before what the nodes remember.
func (t *term) isForgotten(number int64) bool {
	since := t.r.RemembersSince()
	if end := time.Unix(0, (number+1)*int64(t.r.opt.Window)); !end.Before(since) {
		return false
	}
	if !t.logged[number] {
		t.logged[number] = true
		t.r.Log.Warn().Int64("window", number).Time("remembersSince", since).Uint64("fence", t.held.Fence()).
			Msg("window not reported: it may have been reported by a node that nobody knows of any more")
	}
	return true
}

// closeWindow writes a window's sums to the store and makes them known to other nodes.
func (t *term) closeWindow(ctx context.Context, number int64) {
	sums := t.r.Counter.Sum(number)
	if len(sums) == 0 {
		t.empty[number] = true // There is nothing to report.
		return
	}
	next := maps.Clone(t.record.Windows)
	next[number] = sums
	if !t.writeRecord(ctx, next) {
		return
	}
	t.r.Counter.Close(number, sums, t.held.Fence())
	t.r.Log.Info().Int64("window", number).Int("workspaces", len(sums)).Uint64("fence", t.held.Fence()).Msg("window closed")
}

// writeRecord replaces the windows in the record, without the earliest if they are too
// many. It reports whether the write is known to have succeeded.
func (t *term) writeRecord(ctx context.Context, windows map[int64]map[string]int64) bool {
	next := record{Windows: windows, Dropped: t.record.Dropped}
	numbers := slices.Sorted(maps.Keys(next.Windows))
	for _, old := range numbers[:max(0, len(numbers)-maxRecordWindows)] {
		delete(next.Windows, old)
		next.Dropped = max(next.Dropped, old)
	}
	value, err := json.Marshal(next)
	if err != nil {
		t.r.Log.Error().Err(err).Msg("can't encode the record of reported windows")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := t.swap(ctx, value)
	if err != nil {
		// The write may have been applied, or another holder may have written, or the
		// revision is of an earlier era: load the record again.
		t.loaded = false
		t.r.Log.Warn().Err(err).Msg("record of reported windows not written to the store")
		return false
	}
	t.record, t.rev = next, e.Revision
	return true
}

// swap replaces the record if it is at the revision at which it was loaded, in the same
// era. If the era ends during the call, the revision may be given again.
func (t *term) swap(ctx context.Context, value []byte) (tarragondeal.Entry, error) {
	var e tarragondeal.Entry
	var err error
	if t.era == t.r.Era() {
		e, err = t.r.Store.Swap(ctx, recordKey, value, t.rev)
	}
	if err == nil && t.era != t.r.Era() {
		err = &tarragondeal.EraError{Op: "swap", Key: recordKey, Reported: e.Revision, Known: tarragondeal.Position{Era: t.era, Revision: t.rev}}
	}
	return e, err
}

// send reports a closed window unless the platform has accepted it. If the lease may
// end before the call does, it leaves the window for a later call, by which time the
// lease is renewed or the duty lost.
func (t *term) send(ctx context.Context, number int64) {
	if t.r.Counter.isReported(number) {
		return
	}
	if err := t.held.Check(callTimeout); err != nil {
		t.r.Log.Info().Err(err).Int64("window", number).Uint64("fence", t.held.Fence()).Msg("report postponed: the lease may end before the call does")
		return
	}
	sums := t.record.Windows[number]
	if !t.r.Counter.startReport(number, sums) {
		return // What other nodes know since is written to the store first.
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.r.Sink.ReportUsage(call, tarragondeal.BegunReport{
		Window: number, Begun: sums, Fence: t.held.Fence(), Sender: t.r.opt.Self,
	})
	var refused *tarragondeal.PlatformError
	switch {
	case err == nil:
		t.r.Counter.endReport(number, t.held.Fence())
		t.r.Scope.Counter("reported").Inc(1)
		t.r.Log.Info().Int64("window", number).Uint64("fence", t.held.Fence()).Msg("window reported")
	case errors.As(err, &refused) && refused.Status != 0:
		t.r.Log.Warn().Err(err).Int64("window", number).Uint64("fence", t.held.Fence()).Msg("report refused, will be sent again")
	default:
		t.r.Log.Warn().Err(err).Int64("window", number).Uint64("fence", t.held.Fence()).Msg("report not answered, will be sent again")
	}
}
