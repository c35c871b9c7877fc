package tdfit

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// rateTTL is how long the rate of a server that is not listed is kept: its entry
	// may come back. A rate that has ended is kept as long, for peers that have not
	// learned of its end.
	rateTTL = time.Minute
	// maxRateAge bounds the age of a peer's rate.
	maxRateAge = 24 * time.Hour
	// limitRefresh and brittleRefresh are how much later than the last one sent to a peer
	// an unchanged rate must have been announced to be sent again. Limits are rare, while
	// all servers of a pool are brittle together.
	limitRefresh   = 500 * time.Millisecond
	brittleRefresh = 5 * time.Second
)

// serverRun identifies one run of a backend server. A server that starts again
// under the same name has announced nothing yet.
type serverRun struct {
	id      tarragondeal.ServerID
	started int64 // Unix milliseconds; zero if unknown.
}

func runOf(s *tarragondeal.Server) serverRun {
	if s.StartedAt.IsZero() {
		return serverRun{id: s.ID}
	}
	return serverRun{id: s.ID, started: s.StartedAt.UnixMilli()}
}

// rateNotice is the rate of one kind that a run of a backend server announced last, to
// this node or to another one.
type rateNotice struct {
	tarragondeal.ServerRate
	at tarragondeal.Instant // When a node received the answer that says so.
	// millis is the same on the clock on which the nodes agree. It is passed on as it is:
	// the age of a message grows on each link without the receiver knowing.
	millis int64
	share  *tdshare.Share
}

// rateNotices are the rates of one kind that backend servers announced.
type rateNotices struct {
	message string        // Log message of a change.
	shares  string        // Prefix of the names of the shares.
	refresh time.Duration // How often a rate that is confirmed is sent again.
	byRun   map[serverRun]*rateNotice
}

func newLimits() rateNotices {
	return rateNotices{message: "limit of server changed", refresh: limitRefresh, byRun: make(map[serverRun]*rateNotice)}
}

func newBrittle() rateNotices {
	return rateNotices{
		message: "rejections that the server can take changed", shares: "rejections of ", refresh: brittleRefresh,
		byRun: make(map[serverRun]*rateNotice),
	}
}

// observeRate records what an answer to this node says. The answers to requests that were
// sent before a rate was announced may have overtaken the announcement, so they don't end
// it.
func (f *Fit) observeRate(k rateNotices, run serverRun, request tarragondeal.RequestID, r tarragondeal.ServerRate, sent tarragondeal.Instant) {
	if known := k.byRun[run]; !r.Announced && (known == nil || sent < known.at) {
		return
	}
	f.setRateNow(k, run, r, "request", string(request))
}

// setRateNow records a rate that this node has just learned, which replaces any other.
func (f *Fit) setRateNow(k rateNotices, run serverRun, r tarragondeal.ServerRate, sourceKind, source string) {
	millis := f.Wall().UnixMilli()
	if known := k.byRun[run]; known != nil {
		millis = max(millis, known.millis+1) // Clocks may differ.
	}
	f.setRate(k, run, rateNotice{ServerRate: r, at: f.Clock.Now(), millis: millis}, sourceKind, source)
}

// setRate records a rate, and logs it with its source if it has changed.
func (f *Fit) setRate(k rateNotices, run serverRun, r rateNotice, sourceKind, source string) {
	known := k.byRun[run]
	if known == nil {
		f.evictRates(k)
		known = &rateNotice{share: tdshare.New(k.shares + string(run.id))}
		k.byRun[run] = known
	}
	before := known.ServerRate
	known.ServerRate, known.at, known.millis = r.ServerRate, r.at, r.millis
	if before != r.ServerRate {
		f.Log.Info().Str(sourceKind, source).Str("server", string(run.id)).Bool("announced", r.Announced).
			Float64("perSecond", r.PerSecond).Bool("before", before.Announced).Float64("perSecondBefore", before.PerSecond).
			Dur("age", f.Clock.Now().Sub(r.at)).Msg(k.message)
	}
}

// evictRates deletes rates that are no longer needed.
func (f *Fit) evictRates(k rateNotices) {
	now := f.Clock.Now()
	for run, r := range k.byRun {
		if now.Sub(r.at) > rateTTL && (f.listedRun(run) == nil || !r.Announced) {
			delete(k.byRun, run)
		}
	}
}

// sentRate is a rate as last sent to a peer.
type sentRate struct {
	tarragondeal.ServerRate
	at tarragondeal.Instant
}

// changedRates returns the rates that differ from the last ones sent, or that were
// announced again since, and updates those.
func (f *Fit) changedRates(k rateNotices, last map[serverRun]sentRate, now tarragondeal.Instant) []*Rate {
	var out []*Rate
	for run, r := range k.byRun {
		before, known := last[run]
		if known && before.ServerRate == r.ServerRate && r.at.Sub(before.at) < k.refresh {
			continue
		}
		last[run] = sentRate{ServerRate: r.ServerRate, at: r.at}
		m := &Rate{
			Server: string(run.id), StartedMillis: run.started, AgeMillis: uint32(max(0, now.Sub(r.at).Milliseconds())), AnnouncedMillis: r.millis,
		}
		if r.Announced {
			m.PerSecond = &r.PerSecond
		}
		out = append(out, m)
	}
	for run := range last {
		if k.byRun[run] == nil {
			delete(last, run)
		}
	}
	return out
}

// receiveRates adopts the rates of a peer that were announced later than the ones known
// here.
func (f *Fit) receiveRates(k rateNotices, from tarragondeal.NodeID, rates []*Rate, now tarragondeal.Instant) {
	if len(rates) == 0 {
		return
	}
	wall := f.Wall().UnixMilli()
	for _, m := range rates {
		run := serverRun{id: tarragondeal.ServerID(m.GetServer()), started: m.GetStartedMillis()}
		r := rateNotice{
			ServerRate: tarragondeal.ServerRate{Announced: m.PerSecond != nil, PerSecond: m.GetPerSecond()}, millis: m.GetAnnouncedMillis(),
		}
		age := time.Duration(m.GetAgeMillis()) * time.Millisecond
		if r.millis == 0 {
			r.millis = wall - age.Milliseconds()
		} else {
			age = max(age, time.Duration(min(wall-r.millis, maxRateAge.Milliseconds()))*time.Millisecond)
		}
		r.at = now.Add(-age)
		known := k.byRun[run]
		if known == nil && !r.Announced || known != nil && r.millis <= known.millis || age > rateTTL && !r.Announced {
			continue
		}
		f.setRate(k, run, r, "peer", string(from))
	}
}
