package tdhost

import (
	"context"
	"errors"
	"io"
	"net/http"
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

// defaultBody bounds a body while the configuration states no bound.
const defaultBody = 4 << 20

// Flow leads an admitted request to its answer.
type Flow interface {
	// Run returns an error only while the caller has got nothing.
	Run(ctx context.Context, w http.ResponseWriter, q *tdflow.Request) error
}

// Deps are what the host works with.
type Deps struct {
	Flow    Flow
	Backend tarragondeal.Backend
	Starts  tdpass.Starts
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Host is the callers' side of a node.
type Host struct {
	Deps
	table   atomic.Pointer[table]
	leaving atomic.Bool
	running atomic.Int64
	last    atomic.Int64 // The instant of the last request's end.
}

// New returns a host that knows no configuration.
func New(d Deps) *Host { return &Host{Deps: d} }

// SetView takes in the configuration in force.
func (h *Host) SetView(v *tarragondeal.View, limits platform.CallerLimits) {
	body := limits.BodyBytes
	if body <= 0 {
		body = defaultBody
	}
	h.table.Store(newTable(v, body))
}

// Ready reports whether callers may be sent to the node.
func (h *Host) Ready() bool { return h.table.Load() != nil && !h.leaving.Load() }

// Leave makes the host tell callers to connect elsewhere. It goes on serving.
func (h *Host) Leave() {
	h.leaving.Store(true)
	h.last.Store(int64(h.Clock.Now()))
}

// Quiet returns for how long no request has been open; zero while one is.
func (h *Host) Quiet() time.Duration {
	if h.running.Load() > 0 {
		return 0
	}
	return h.Clock.Now().Sub(tarragondeal.Instant(h.last.Load()))
}

// Open returns how many requests are open.
func (h *Host) Open() int { return int(h.running.Load()) }

// ServeHTTP leads one request from its arrival to its end.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.Clock.Now()
	h.running.Add(1)
	defer func() {
		h.last.Store(int64(h.Clock.Now()))
		h.running.Add(-1)
	}()
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	caller := platform.DecodeCaller(r.Header)
	platform.SetID(w.Header(), caller.ID)
	q, err := h.admit(w, r, caller, arrived)
	if err == nil {
		q.Exchange = tdpass.New(h.Backend, h.Starts, caller, r.Host, h.Clock, h.Log)
		err = h.run(r.Context(), w, q)
	}
	if err != nil {
		h.refuse(w, r, caller, err, arrived)
	}
	h.Scope.Timer("request").Record(h.Clock.Now().Sub(arrived))
}

// writeSlack is how much longer than a request may last its caller may take to
// accept the answer.
const writeSlack = 2 * time.Second

// run leads a request to its answer. A caller that accepts nothing more does
// not hold it for ever.
func (h *Host) run(ctx context.Context, w http.ResponseWriter, q *tdflow.Request) error {
	rc := http.NewResponseController(w)
	bound := max(q.Deadline, time.Duration(q.Class.Deadline)) + writeSlack
	// Only a connection that is gone can't have a deadline.
	_ = rc.SetWriteDeadline(time.Now().Add(bound))
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	return h.Flow.Run(ctx, w, q)
}

// admit finds a request's route and workspace, and reads its body.
func (h *Host) admit(w http.ResponseWriter, r *http.Request, c platform.Caller, arrived tarragondeal.Instant) (*tdflow.Request, error) {
	t := h.table.Load()
	if t == nil {
		return nil, refused(tarragondeal.ReasonNotReady, "no configuration is known yet")
	}
	target := rawTarget(r)
	path, _, _ := strings.Cut(target, "?")
	route := t.match(r.Host, path)
	if route == nil {
		return nil, refused(tarragondeal.ReasonNoRoute, "no route has that host and path")
	}
	q := &tdflow.Request{
		ID: tarragondeal.RequestID(c.ID), View: t.view, Route: route, Class: t.view.RequestClasses[route.Class],
		Workspace: &tarragondeal.Workspace{}, Method: r.Method, Path: target, Header: r.Header, Arrived: arrived,
		Deadline: c.Deadline, Attempts: route.MaxAttempts, Parts: c.Parts, Input: c.Input, Output: c.Output,
	}
	if c.ID == "" {
		q.ID = tarragondeal.RequestID(uuid.NewString())
	}
	if !route.Open {
		key := t.view.Keys[platform.KeyName(c.Key)]
		if c.Key == "" || key == nil || t.view.Workspaces[key.Workspace] == nil {
			return nil, refused(tarragondeal.ReasonBadKey, "the key is not known")
		}
		q.Workspace = t.view.Workspaces[key.Workspace]
	}
	var err error
	q.Body, err = h.read(w, r, t.body)
	return q, err
}

// rawTarget returns the path and query as the caller wrote them.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // The caller named a host in the request line.
}

func (h *Host) read(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		return nil, refused(tarragondeal.ReasonTooLarge, "the body is too large")
	}
	body := http.MaxBytesReader(w, r.Body, most)
	var buf []byte
	var err error
	if r.ContentLength > 0 {
		buf = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, buf)
	} else {
		buf, err = io.ReadAll(body)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refused(tarragondeal.ReasonTooLarge, "the body is too large")
	case err != nil:
		w.Header().Set("Connection", "close")
		return nil, refused(tarragondeal.ReasonBadRequest, "the body can't be read")
	}
	return buf, nil
}

func refused(reason tarragondeal.Reason, detail string) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail}
}

// refuse answers a request that gets no other answer.
func (h *Host) refuse(w http.ResponseWriter, r *http.Request, c platform.Caller, err error, arrived tarragondeal.Instant) {
	status, body, after := tdrelay.ErrorJSON(err)
	var e *tarragondeal.RefusedError
	notRun := errors.As(err, &e) && e.Ran == tarragondeal.RanNot
	status = callerStatus(status, notRun)
	elapsed := h.Clock.Now().Sub(arrived)
	if status == http.StatusServiceUnavailable {
		after = comeBack(after, c.Deadline-elapsed)
		setRetryAfter(w.Header(), after)
	}
	h.Log.Info().Str("request", c.ID).Str("host", r.Host).Int("status", status).Bool("notRun", notRun).Err(err).
		Dur("retryAfter", after).Dur("after", elapsed).Msg("request refused")
	h.Scope.Tagged(map[string]string{"status": http.StatusText(status)}).Counter("refusals").Inc(1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		h.Log.Debug().Err(err).Str("request", c.ID).Msg("caller did not take the refusal")
	}
}
