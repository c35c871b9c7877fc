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
	// recordKey is where the store holds the sums of the latest windows.
	recordKey = "usage/windows"
	// recordWindows is how many windows the record holds.
	recordWindows = 12
	// lookEvery is how often the holder looks for windows to report.
	lookEvery = 200 * time.Millisecond
	// callTimeout bounds one call of the store or the platform.
	callTimeout = time.Second
	// settleShare and waitShare are shares of the time within which a window
	// must be reported: when it is summed up at the earliest, and until when
	// the counts of nodes that are not heard are waited for.
	settleShare = 0.2
	waitShare   = 0.8
)

// Sink takes reports.
type Sink interface {
	ReportUsage(ctx context.Context, r tarragondeal.BegunReport) error
}

// Deps are what the reporter works with.
type Deps struct {
	Store   tarragondeal.Store
	Sink    Sink
	Counter *Counter
	// Whole reports whether all nodes that are known are heard.
	Whole func() bool
	Clock tarragondeal.Clock
	Log   zerolog.Logger
	Scope tally.Scope
}

// Options bound the reporter.
type Options struct {
	Self   tarragondeal.NodeID
	Window time.Duration
	Due    time.Duration // After a window's end, until it must be reported.
}

// Reporter reports windows while its node holds the duty.
type Reporter struct {
	Deps
	opt Options
}

// NewReporter returns a reporter.
func NewReporter(d Deps, o Options) *Reporter { return &Reporter{Deps: d, opt: o} }

// record is what the store holds: once a window stands there, its sums never
// change.
type record struct {
	Windows map[int64]map[string]int64 `json:"windows"`
}

// term is one holding of the duty.
type term struct {
	r      *Reporter
	held   tarragondeal.Held
	record record
	rev    tarragondeal.Revision
	read   bool
	sent   map[int64]bool
}

// Duty reports windows until ctx ends or the duty is lost.
func (r *Reporter) Duty(ctx context.Context, held tarragondeal.Held) error {
	t := &term{r: r, held: held, sent: make(map[int64]bool)}
	for {
		t.look(ctx)
		if !tdclock.Sleep(ctx, lookEvery) {
			return nil
		}
	}
}

// look reports what is due. What fails is tried again.
func (t *term) look(ctx context.Context) {
	if !t.read {
		t.load(ctx)
	}
	if !t.read {
		return
	}
	now := t.r.Counter.wall()
	open := now.UnixNano() / int64(t.r.opt.Window)
	for number := open - keepWindows; number < open; number++ {
		if t.sent[number] || !t.ripe(number, now) {
			continue
		}
		sums, ok := t.record.Windows[number]
		if !ok {
			if sums = t.freeze(ctx, number); sums == nil {
				continue
			}
		}
		t.send(ctx, number, sums)
	}
}

// ripe reports whether a window's counts have come in, or can't be waited for.
func (t *term) ripe(number int64, now time.Time) bool {
	if _, ok := t.record.Windows[number]; ok {
		return true
	}
	since := now.Sub(time.Unix(0, (number+1)*int64(t.r.opt.Window)))
	due := float64(t.r.opt.Due)
	switch {
	case since < time.Duration(settleShare*due):
		return false
	case since < time.Duration(waitShare*due):
		return t.r.Whole()
	}
	return true
}

func (t *term) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := t.r.Store.Get(ctx, recordKey)
	if err != nil {
		t.r.Log.Warn().Err(err).Msg("reported windows can't be read")
		return
	}
	t.record = record{}
	if len(e.Value) > 0 {
		if err := json.Unmarshal(e.Value, &t.record); err != nil {
			t.r.Log.Error().Err(err).Msg("the record of reported windows can't be read, it is written anew")
		}
	}
	if t.record.Windows == nil {
		t.record.Windows = make(map[int64]map[string]int64)
	}
	t.rev, t.read = e.Revision, true
}

// freeze writes a window's sums to the store. It returns nil when they are not
// known to stand there.
func (t *term) freeze(ctx context.Context, number int64) map[string]int64 {
	sums := t.r.Counter.Sum(number)
	if len(sums) == 0 {
		t.sent[number] = true // Nothing began.
		return nil
	}
	next := record{Windows: maps.Clone(t.record.Windows)}
	next.Windows[number] = sums
	numbers := slices.Sorted(maps.Keys(next.Windows))
	for _, old := range numbers[:max(0, len(numbers)-recordWindows)] {
		delete(next.Windows, old)
	}
	value, err := json.Marshal(next)
	if err != nil {
		t.r.Log.Error().Err(err).Msg("windows can't be encoded")
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := t.r.Store.Swap(ctx, recordKey, value, t.rev)
	if err != nil {
		// The write may have been done, or another holder has written.
		t.read = false
		t.r.Log.Warn().Err(err).Int64("window", number).Msg("window not written to the store")
		return nil
	}
	t.record, t.rev = next, e.Revision
	t.r.Log.Info().Int64("window", number).Int("workspaces", len(sums)).Uint64("fence", t.held.Fence()).Msg("window closed")
	return sums
}

// send reports a window, unless the lease may end before the call does: then it
// is renewed first, or the duty ends.
func (t *term) send(ctx context.Context, number int64, sums map[string]int64) {
	if err := t.held.Check(callTimeout); err != nil {
		t.r.Log.Info().Err(err).Int64("window", number).Msg("report put off")
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
		t.r.Log.Warn().Err(err).Int64("window", number).Msg("report refused, it is sent again")
	default:
		t.r.Log.Warn().Err(err).Int64("window", number).Msg("report not answered, it is sent again")
	}
}
