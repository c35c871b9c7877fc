// Package tdfront takes callers' requests over HTTP and leads each one to an
// answer: key, route, permitted place, claim, backend server, relay.
//
// # Usage
//
//	f := tdfront.New(tdfront.Deps{...})
//	srv := &http.Server{Handler: f.Handler()}
package tdfront

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdplace"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdrelay"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 8 << 20

// Headers of the callers' side.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderIdempotency = "Idempotency-Key"
	HeaderDataCentre  = "X-Served-Data-Centre"
	HeaderServer      = "X-Served-By"
)

// Deps are what the front works with.
type Deps struct {
	Config    tarragondeal.Config
	Dispatch  tarragondeal.Dispatcher
	Backend   tarragondeal.Backend
	Claims    tarragondeal.Claims
	Meter     tarragondeal.Meter
	Burn      tarragondeal.Burn
	Addresses *tdaddress.Addresses
	Clock     tarragondeal.Clock
	Log       zerolog.Logger
}

// Front is the callers' side of a node.
type Front struct {
	Deps
}

// New returns a front.
func New(d Deps) *Front { return &Front{Deps: d} }

// Handler serves callers.
func (f *Front) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/chat/completions", f.model)
	r.POST("/v1/completions", f.model)
	r.GET("/v1/models", f.models)
	r.Handle(http.MethodPost, "/services/:route/*path", f.service)
	r.GET("/entry", f.entry)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	r.GET("/readyz", f.ready)
	return r
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if f.Config.View() == nil {
		http.Error(w, "no set of objects is in force yet", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (f *Front) entry(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, f.Addresses.Answer(r.URL.Query().Get("dataCentre")))
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (f *Front) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list"}
	if v := f.Config.View(); v != nil {
		for _, r := range v.Set.Routes {
			out.Data = append(out.Data, model{ID: r.Name, Object: "model"})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

// request is what the front knows of one request on its way.
type request struct {
	id        tarragondeal.RequestID
	view      *tarragondeal.View
	route     *tarragondeal.Route
	class     *tarragondeal.RequestClass
	workspace *tarragondeal.Workspace
	body      []byte
	path      string
	stream    bool
	idemKey   string
}

func (f *Front) model(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var head struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err == nil {
		err = json.Unmarshal(body, &head)
	}
	if err != nil {
		f.refuse(w, refused(tarragondeal.ReasonBadRequest, err.Error()))
		return
	}
	q := &request{body: body, path: r.URL.Path, stream: head.Stream}
	f.serve(w, r, q, head.Model)
}

func (f *Front) service(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		f.refuse(w, refused(tarragondeal.ReasonBadRequest, err.Error()))
		return
	}
	f.serve(w, r, &request{body: body, path: p.ByName("path")}, p.ByName("route"))
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, q *request, route string) {
	q.id = tarragondeal.RequestID(r.Header.Get(HeaderRequest))
	if q.id == "" {
		q.id = tarragondeal.RequestID(uuid.NewString())
	}
	w.Header().Set(HeaderRequest, string(q.id))
	q.idemKey = r.Header.Get(HeaderIdempotency)
	err := f.admit(r, q, route)
	if err == nil {
		err = f.run(w, r, q)
	}
	if err != nil {
		f.refuse(w, err)
	}
}

func (f *Front) admit(r *http.Request, q *request, route string) error {
	q.view = f.Config.View()
	if q.view == nil {
		return refused(tarragondeal.ReasonNotReady, "no set of objects is in force yet")
	}
	q.route = q.view.Routes[route]
	if q.route == nil {
		return refused(tarragondeal.ReasonNoRoute, "no route has that name")
	}
	q.class = q.view.RequestClasses[q.route.Class]
	if q.route.Open {
		q.workspace = q.view.Workspaces[q.route.BilledTo]
		return nil
	}
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refused(tarragondeal.ReasonNoKey, "send the key as Authorization: Bearer")
	}
	key, err := tdkey.Check(q.view, text)
	if err != nil {
		return err
	}
	q.workspace = q.view.Workspaces[key.Workspace]
	return nil
}

func (f *Front) run(w http.ResponseWriter, r *http.Request, q *request) error {
	places := tdplace.Permitted(q.view, q.workspace, q.route)
	if len(places) == 0 {
		return refused(tarragondeal.ReasonNoPlace, "workspace and route permit no common data centre")
	}
	if !q.route.NonIdempotent {
		return f.attempt(w, r, q, places)
	}
	if q.idemKey == "" {
		return refused(tarragondeal.ReasonNeedsIdemKey, "this route needs an Idempotency-Key header")
	}
	return f.once(w, r, q, places)
}

func (f *Front) once(w http.ResponseWriter, r *http.Request, q *request, places []string) error {
	sum := sha256.Sum256(q.body)
	key := tarragondeal.ClaimKey{Workspace: q.workspace.Name, Route: q.route.Name, Key: q.idemKey}
	claim, err := f.Claims.Take(r.Context(), key, hex.EncodeToString(sum[:]))
	var taken *tarragondeal.ClaimError
	if errors.As(err, &taken) && taken.Answer != nil && !taken.Answer.Omitted {
		w.Header().Set("Content-Type", taken.Answer.ContentType)
		w.WriteHeader(taken.Answer.Status)
		_, _ = w.Write(taken.Answer.Body)
		return nil
	}
	if err != nil {
		return err
	}
	rec := &recorder{ResponseWriter: w, status: http.StatusOK}
	if err := f.attempt(rec, r, q, places); err != nil {
		return err
	}
	done := sha256.Sum256(rec.body.Bytes())
	return f.Claims.Finish(context.WithoutCancel(r.Context()), claim, tarragondeal.Recorded{
		Status: rec.status, ContentType: w.Header().Get("Content-Type"),
		Body: rec.body.Bytes(), Digest: hex.EncodeToString(done[:]),
	})
}

// recorder keeps a copy of a small answer.
type recorder struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

func (c *recorder) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

func (c *recorder) Write(b []byte) (int, error) {
	c.body.Write(b)
	return c.ResponseWriter.Write(b)
}

func (f *Front) attempt(w http.ResponseWriter, r *http.Request, q *request, places []string) error {
	deadline := time.Duration(q.class.Deadline)
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	ask := tarragondeal.Ask{
		Request: q.id, Attempt: 1, Workspace: q.workspace.Name, Weight: q.workspace.Weight,
		Route: q.route.Name, Class: q.class.Name, Tier: q.class.Tier, MinShare: q.class.MinShare,
		Pools: q.route.Pools, DataCentres: places, Deadline: deadline, Idempotent: !q.route.NonIdempotent,
	}
	grant, err := f.Dispatch.Reserve(ctx, ask)
	if err != nil {
		return err
	}
	outcome := tarragondeal.Outcome{Kind: tarragondeal.OutcomeCrashed}
	defer func() { f.Dispatch.Done(grant, outcome) }()
	header := http.Header{"Content-Type": {r.Header.Get("Content-Type")}}
	answer, err := f.Backend.Send(ctx, grant.Server, tarragondeal.Call{
		Request: q.id, Attempt: 1, Method: r.Method, Path: q.path, Header: header, Body: q.body, Tier: ask.Tier,
	})
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
	w.Header().Set(HeaderDataCentre, grant.Server.DataCentre)
	w.Header().Set(HeaderServer, string(grant.Server.ID))
	w.WriteHeader(answer.Status)
	res, err := tdrelay.Copy(w, answer, q.stream)
	if err != nil || !res.Whole {
		panic(http.ErrAbortHandler) // The caller must see that it is short.
	}
	outcome = tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed, Tokens: res.Events}
	return f.Meter.Add(ctx, tarragondeal.Usage{
		Request: q.id, Workspace: q.workspace.Name, Route: q.route.Name, Class: q.class.Name,
		At: f.Clock.Wall(), OutputTokens: res.Events, Last: true,
	})
}
