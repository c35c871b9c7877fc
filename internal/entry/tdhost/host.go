package tdhost

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdpass"
	"tarragondeal/internal/entry/tdrelay"
	"tarragondeal/platform"
)

// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// Flow serves admitted requests.
type Flow interface {
	// Run returns an error only if nothing has been written to the caller.
	Run(ctx context.Context, w http.ResponseWriter, q *tdflow.Request) error
}

// Deps holds the dependencies of a Host.
type Deps struct {
	Flow    Flow
	Backend tarragondeal.Backend
	Starts  tdpass.Starts
	Notices tarragondeal.ServerNotices
	Origins tarragondeal.StreamOrigins
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope
	// MemoryBytes is the size of the VM's memory; zero if it isn't known.
	MemoryBytes int64
}

// Host serves callers' requests on a node.
type Host struct {
	Deps
	buffers  tdpass.Buffers
	bodies   *tdpass.Room // For the bodies of all requests.
	table    atomic.Pointer[table]
	leaving  atomic.Bool
	inFlight atomic.Int64
	lastEnd  atomic.Int64 // Instant at which the last request ended.
	cut      *cut
}

// New returns a host without a configuration. It is not ready until SetView is
// called.
func New(d Deps) *Host {
	h := &Host{Deps: d, cut: newCut()}
	h.bodies = tdpass.NewRoom(h.bodyRoom(defaultMaxBodyBytes))
	return h
}

// SetView sets the configuration in force.
func (h *Host) SetView(v *tarragondeal.View, limits platform.CallerLimits) {
	body := limits.BodyBytes
	if body <= 0 {
		body = defaultMaxBodyBytes
	}
	h.bodies.SetLimit(h.bodyRoom(body))
	h.table.Store(newTable(v, body))
}

// HasHomes reports whether requests of a route or a workspace may run in some data centres
// only. Then their bodies must not pass through the nodes of other regions.
func (h *Host) HasHomes() bool {
	t := h.table.Load()
	return t != nil && t.homes
}

// MayName reports whether a caller of a host may be sent to the nodes of a data centre. The
// caller's own region is always permitted, any other one by the homes of the host's routes.
func (h *Host) MayName(host, dataCentre string, ownRegion bool) bool {
	t := h.table.Load()
	if t == nil || ownRegion {
		return true
	}
	routes := t.hosts[hostName(host)]
	return routes == nil || len(routes.homes) == 0 || slices.Contains(routes.homes, dataCentre)
}

// Ready reports whether the node accepts new callers.
func (h *Host) Ready() bool { return h.table.Load() != nil && !h.leaving.Load() }

// Leave makes the host ask callers to close their connections. Requests are still
// served if they can be expected to end before the given time.
func (h *Host) Leave(until tarragondeal.Instant) {
	h.cut.at.Store(int64(until))
	h.leaving.Store(true)
	h.lastEnd.Store(int64(h.Clock.Now()))
}

// IdleTime returns how long no request has been in flight, or zero if one is.
func (h *Host) IdleTime() time.Duration {
	if h.inFlight.Load() > 0 {
		return 0
	}
	return h.Clock.Now().Sub(tarragondeal.Instant(h.lastEnd.Load()))
}

// Open returns the number of requests in flight.
func (h *Host) Open() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer tdrelay.ResetOnPanic(w, r)
	// The deadline of the connection's previous request has passed.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	arrived := h.Clock.Now()
	h.inFlight.Add(1)
	defer func() {
		h.lastEnd.Store(int64(h.Clock.Now()))
		h.inFlight.Add(-1)
	}()
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	caller := platform.DecodeCaller(r.Header)
	platform.SetRequestID(w.Header(), caller.ID)
	body := &upload{h: h}
	defer body.end()
	q, err := h.admit(w, r, caller, arrived, body)
	if err == nil && h.leaving.Load() {
		err = h.cut.check(q, h.Clock.Now())
	}
	if err == nil {
		err = h.serve(r.Context(), w, q, caller, r.Host)
	}
	switch {
	case errors.Is(err, errNoBodyRoom):
		h.refuseUnread(w, r, func() { h.refuse(w, r, caller, err, arrived) })
	case err != nil:
		h.refuse(w, r, caller, err, arrived)
	}
	h.Scope.Timer("request").Record(h.Clock.Now().Sub(arrived))
}

// serve serves an admitted request.
func (h *Host) serve(ctx context.Context, w http.ResponseWriter, q *tdflow.Request, c platform.Caller, host string) error {
	ctx, end := h.cut.bind(ctx)
	defer end()
	if !q.Route.Resumable {
		c.Resume = "" // The stream begins with its first event.
	}
	if c.Resume != "" {
		if err := h.findSoftware(ctx, q, c); err != nil {
			return err
		}
	}
	x := tdpass.New(tdpass.Deps{
		Backend: h.Backend, Starts: h.Starts, Notices: h.Notices, Origins: h.Origins, Buffers: &h.buffers, Clock: h.Clock, Log: h.Log,
	}, c, host)
	defer x.End()
	q.Exchange = x
	return h.run(ctx, w, q)
}

// resumeDeadlines and resumeTime bound the time from the beginning of a stream to its last
// resumption, in deadlines of its class and from below. Callers may return several times,
// each after a delay.
const (
	resumeDeadlines = 2
	resumeTime      = 5 * time.Minute
)

// findSoftware binds a request that resumes a stream to the software that began it.
func (h *Host) findSoftware(ctx context.Context, q *tdflow.Request, c platform.Caller) error {
	s, err := h.Origins.Find(ctx, tarragondeal.OriginQuery{
		Workspace: q.Workspace.Name, Request: tarragondeal.RequestID(c.Resumes), Pools: q.Route.Pools,
		MaxAge: max(resumeTime, resumeDeadlines*time.Duration(q.Class.Deadline)),
	})
	if err != nil {
		return err
	}
	q.Software = &s
	return nil
}

// writeMargin is added to a request's deadline to get the write deadline of its
// connection.
const writeMargin = 2 * time.Second

// run serves q with a write deadline, so that a caller that stops reading doesn't
// block the request for ever.
func (h *Host) run(ctx context.Context, w http.ResponseWriter, q *tdflow.Request) error {
	rc := http.NewResponseController(w)
	bound := max(q.Deadline, time.Duration(q.Class.Deadline)) + writeMargin
	// Setting the deadline fails only if the connection is closed.
	_ = rc.SetWriteDeadline(time.Now().Add(bound))
	// What is still buffered is written after the handler has returned.
	defer func() { _ = rc.SetWriteDeadline(time.Now().Add(writeMargin)) }()
	return h.Flow.Run(ctx, w, q)
}

// admit determines the route and workspace of a request and reads its body.
func (h *Host) admit(w http.ResponseWriter, r *http.Request, c platform.Caller, arrived tarragondeal.Instant, body *upload) (*tdflow.Request, error) {
	t := h.table.Load()
	if t == nil {
		return nil, notRunError(tarragondeal.ReasonNotReady, "no configuration is known yet")
	}
	target := rawTarget(r)
	path, _, _ := strings.Cut(target, "?")
	route := t.match(r.Host, path)
	if route == nil {
		return nil, notRunError(tarragondeal.ReasonNoRoute, "no route has that host and path")
	}
	q := &tdflow.Request{
		ID: tarragondeal.RequestID(c.ID), View: t.view, Route: route, Class: t.view.RequestClasses[route.Class],
		Workspace: &tarragondeal.Workspace{}, Method: r.Method, Path: target, Header: r.Header, Arrived: arrived,
		Deadline: c.Deadline, Attempts: route.MaxAttempts, Parts: c.Parts, Input: c.Input, Output: c.Output, OutputHint: c.OutputHint,
	}
	if c.ID == "" {
		q.ID = tarragondeal.RequestID(uuid.NewString())
	}
	if !route.Open {
		key := t.view.Keys[platform.KeyName(c.Key)]
		if c.Key == "" || key == nil || t.view.Workspaces[key.Workspace] == nil {
			return nil, notRunError(tarragondeal.ReasonBadKey, "the key is not known")
		}
		q.Workspace = t.view.Workspaces[key.Workspace]
	}
	body.workspace = q.Workspace.Name
	var err error
	rc := http.NewResponseController(w)
	// Setting the deadline fails only if the connection is closed.
	_ = rc.SetReadDeadline(time.Now().Add(uploadTime(q)))
	q.Body, err = body.read(w, r, t.maxBodyBytes)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return q, err
}

// defaultUploadTime applies to requests without a deadline.
const defaultUploadTime = 10 * time.Minute

// uploadTime returns how long the body of a request may take: until its deadline.
func uploadTime(q *tdflow.Request) time.Duration {
	d := time.Duration(q.Class.Deadline)
	if q.Deadline > 0 && (d <= 0 || q.Deadline < d) {
		d = q.Deadline
	}
	if d <= 0 {
		d = defaultUploadTime
	}
	return d
}

// rawTarget returns the path and query of the request line without decoding them.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // The request line contains an absolute URL.
}

func notRunError(reason tarragondeal.Reason, detail string) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail}
}

// refuse writes the error response for a request that failed with err.
func (h *Host) refuse(w http.ResponseWriter, r *http.Request, c platform.Caller, err error, arrived tarragondeal.Instant) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeMargin))
	status, body, after := tdrelay.ErrorJSON(err)
	var e *tarragondeal.RefusedError
	notRun := errors.As(err, &e) && e.Ran == tarragondeal.RanNot
	status = callerStatus(status, notRun)
	elapsed := h.Clock.Now().Sub(arrived)
	if status == http.StatusServiceUnavailable {
		after = retryAfter(after, c.Deadline-elapsed)
		setRetryAfter(w.Header(), after)
	}
	h.Log.Info().Str("request", c.ID).Str("host", r.Host).Int("status", status).Bool("notRun", notRun).Err(err).
		Dur("retryAfter", after).Dur("after", elapsed).Msg("request refused")
	h.Scope.Tagged(map[string]string{"status": http.StatusText(status)}).Counter("refusals").Inc(1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		h.Log.Debug().Err(err).Str("request", c.ID).Msg("writing the refusal to the caller failed")
	}
}
