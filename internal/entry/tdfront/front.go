// Package tdfront takes callers' requests over HTTP: it decodes them, admits
// them by key, route, workspace and limits, and gives errors their form. An
// admitted request goes to tdflow.
//
// # Usage
//
//	f := tdfront.New(tdfront.Deps{...}, tdfront.Options{...})
//	srv := &http.Server{Handler: f.Handler()}
//	f.Leave() // The node is stopping.
package tdfront

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/entry/tdaddress"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdrelay"
)

// Headers of the callers' side.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderIdempotency = "Idempotency-Key"
	// HeaderRouted names the request as backend servers and log lines do. It
	// is unique, which a caller's own id may not be.
	HeaderRouted = "X-Routed-Request-Id"
)

// Flow leads an admitted request to its answer.
type Flow interface {
	// Run returns an error only while the caller has got nothing.
	Run(ctx context.Context, w http.ResponseWriter, q *tdflow.Request) error
}

// Deps are what the front works with.
type Deps struct {
	Config    tarragondeal.Config
	Limiter   tarragondeal.Limiter
	Flow      Flow
	Addresses *tdaddress.Addresses
	Clock     tarragondeal.Clock
	Log       zerolog.Logger
}

// Options bound what callers may do.
type Options struct {
	MaxBody int64         // Bytes of a request's body.
	Body    time.Duration // How long a body may take to come.
	PerKey  int           // Requests of one key open at this node.
}

// Front is the callers' side of a node.
type Front struct {
	Deps
	opt     Options
	open    *counts
	running atomic.Int64
	leaving atomic.Bool
}

// New returns a front.
func New(d Deps, o Options) *Front {
	return &Front{Deps: d, opt: o, open: newCounts()}
}

// Open returns how many requests are open.
func (f *Front) Open() int { return int(f.running.Load()) }

// Leave makes the front tell callers that the node is stopping: it is no
// longer ready, and each answer asks its caller to connect anew.
func (f *Front) Leave() { f.leaving.Store(true) }

// methods are those of calls to plain services.
var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// Handler serves callers.
func (f *Front) Handler() http.Handler {
	r := httprouter.New()
	// A redirect would repeat the query, in which a key may stand.
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.HandleOPTIONS = false
	r.POST("/v1/chat/completions", f.model)
	r.POST("/v1/completions", f.model)
	r.GET("/v1/models", f.models)
	for _, m := range methods {
		r.Handle(m, "/services/:route/*path", f.service)
	}
	r.GET("/entry", f.entry)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	r.GET("/readyz", f.ready)
	r.NotFound = errorHandler(refused(tarragondeal.ReasonNoRoute, "nothing is served at this path"))
	r.MethodNotAllowed = errorHandler(refused(tarragondeal.ReasonNoRoute, "this path is not served with this method"))
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if f.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		r.ServeHTTP(w, req)
	})
}

func errorHandler(err error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { tdrelay.WriteError(w, err) })
}

func refused(reason tarragondeal.Reason, detail string) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail}
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_, err := f.view()
	switch {
	case f.leaving.Load():
		tdrelay.WriteError(w, refused(tarragondeal.ReasonLeaving, "the node is stopping"))
	case err != nil:
		tdrelay.WriteError(w, err)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (f *Front) entry(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	count := 0
	if text := query.Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			tdrelay.WriteError(w, refused(tarragondeal.ReasonBadRequest, "count is a number of addresses, at least 1"))
			return
		}
		count = n
	}
	writeJSON(w, f.Addresses.Answer(query.Get("dataCentre"), count))
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models lists the routes to models that the caller may use.
func (f *Front) models(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	v, err := f.view()
	if err != nil {
		tdrelay.WriteError(w, err)
		return
	}
	err = misplaced(r)
	var key *tarragondeal.Key
	if err == nil && r.Header.Get("Authorization") != "" {
		key, err = bearer(v, r)
	}
	if err != nil {
		tdrelay.WriteError(w, err)
		return
	}
	out := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for n := range v.Set.Routes {
		route := &v.Set.Routes[n]
		if kind(v, route) == tarragondeal.PoolModel && lists(route, key) {
			out.Data = append(out.Data, model{ID: route.Name, Object: "model"})
		}
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
