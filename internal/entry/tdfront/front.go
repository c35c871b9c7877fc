// Package tdfront is the HTTP front end for callers: it decodes requests,
// admits them by key, route, workspace and limits, and writes errors. Admitted
// requests are passed to tdflow.
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

// Headers of requests and answers.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderIdempotency = "Idempotency-Key"
	// HeaderRouted holds the request id used in log lines and in calls to
	// backend servers. It is unique, unlike an id set by the caller.
	HeaderRouted = "X-Routed-Request-Id"
)

// Flow runs admitted requests.
type Flow interface {
	// Run sends the request to a backend server and writes the answer to w. It
	// returns an error only if nothing has been written.
	Run(ctx context.Context, w http.ResponseWriter, q *tdflow.Request) error
}

// Deps are the dependencies of a Front.
type Deps struct {
	Config    tarragondeal.Config
	Limiter   tarragondeal.Limiter
	Flow      Flow
	Addresses *tdaddress.Addresses
	Clock     tarragondeal.Clock
	Log       zerolog.Logger
}

// Options are the limits on requests.
type Options struct {
	MaxBody       int64         // Size of a request body, in bytes.
	BodyTimeout   time.Duration // Timeout for receiving a body.
	MaxOpenPerKey int           // Open requests of one key at this node; zero means no limit.
}

// Front serves the HTTP requests of callers.
type Front struct {
	Deps
	opt          Options
	openPerKey   *keyCounter
	openRequests atomic.Int64
	leaving      atomic.Bool
}

// New returns a Front.
func New(d Deps, o Options) *Front {
	return &Front{Deps: d, opt: o, openPerKey: newKeyCounter()}
}

// Open returns the number of open requests.
func (f *Front) Open() int { return int(f.openRequests.Load()) }

// Leave reports to callers that the node is stopping: the readiness check fails, and
// each answer closes its connection.
func (f *Front) Leave() { f.leaving.Store(true) }

// serviceMethods are the HTTP methods of calls to plain services.
var serviceMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// Handler returns the handler of all paths for callers.
func (f *Front) Handler() http.Handler {
	r := httprouter.New()
	// A redirect would repeat the query, which may contain a key.
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.HandleOPTIONS = false
	r.POST("/v1/chat/completions", f.handleModel)
	r.POST("/v1/completions", f.handleModel)
	r.GET("/v1/models", f.handleModels)
	for _, m := range serviceMethods {
		r.Handle(m, "/services/:route/*path", f.handleService)
	}
	r.GET("/entry", f.handleEntry)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	r.GET("/readyz", f.handleReady)
	r.NotFound = errorHandler(refused(tarragondeal.ReasonNoRoute, "nothing is served at this path"))
	r.MethodNotAllowed = errorHandler(refused(tarragondeal.ReasonNoRoute, "this path is not served with this method"))
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer tdrelay.ResetOnPanic(w, req)
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

// handleReady serves the readiness check.
func (f *Front) handleReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
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

// handleEntry lists addresses of entry VMs.
func (f *Front) handleEntry(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
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

// handleModels lists the model routes that the caller may use.
func (f *Front) handleModels(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	v, err := f.view()
	if err != nil {
		tdrelay.WriteError(w, err)
		return
	}
	err = checkMisplacedKey(r)
	var key *tarragondeal.Key
	if err == nil && r.Header.Get("Authorization") != "" {
		key, err = bearerKey(v, r)
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
		if routeKind(v, route) == tarragondeal.PoolModel && isVisible(route, key) {
			out.Data = append(out.Data, model{ID: route.Name, Object: "model"})
		}
	}
	writeJSON(w, out)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
