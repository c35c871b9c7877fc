package tdoperator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

// maxBodyBytes is the maximum size of a request body. It leaves room for a set
// of the maximum size whose text is escaped as a JSON string.
const maxBodyBytes = 4 * tdset.MaxTextBytes

// Deps are the dependencies of an API.
type Deps struct {
	Config  tarragondeal.Publisher
	Members tarragondeal.Members
	Clock   tarragondeal.Clock
	Tokens  []Token
	Metrics http.Handler
	Log     zerolog.Logger
	// Servers returns the last known backend servers.
	Servers func() []tarragondeal.Server
	// Duties returns the duties of the fleet and their holders. It may be nil.
	Duties func(ctx context.Context) ([]Duty, error)
	// Report returns the report on service-level burn. If it is nil, the API
	// has no report.
	Report func(ctx context.Context) (any, error)
}

// API is the HTTP API of a node for operators.
type API struct {
	Deps
	tokens tokens
}

// New returns an API that accepts requests with one of the tokens in d.
func New(d Deps) *API {
	return &API{Deps: d, tokens: newTokens(d.Tokens)}
}

// Handler returns the HTTP handler of the API. The metrics and the health check
// need no token.
func (a *API) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/operator/set", a.auth(a.getSet))
	r.PUT("/operator/set", a.auth(a.putSet))
	r.GET("/operator/history", a.auth(a.history))
	r.GET("/operator/keys", a.auth(a.keys))
	r.POST("/operator/keys", a.auth(a.issue))
	r.POST("/operator/keys/:name/withdraw", a.auth(a.withdraw))
	r.GET("/operator/status", a.auth(a.status))
	if a.Report != nil {
		r.GET("/operator/report", a.auth(func(r *http.Request, _ httprouter.Params) (any, error) {
			return a.Report(r.Context())
		}))
	}
	r.Handler(http.MethodGet, "/metrics", a.Metrics)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "there is nothing at this path"})
	})
	return r
}

// toError converts err to an error response. An error that the operator can't
// act on is logged in full, and the response only refers to the log.
func (a *API) toError(err error) *Error {
	var refused *Error
	var faults *tdset.FaultsError
	var conflict *tarragondeal.ConflictError
	var store *tarragondeal.StoreError
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.As(err, &faults):
		return &Error{Status: http.StatusUnprocessableEntity, Code: CodeFaults, Message: "the set is not consistent", Faults: faults.Faults}
	case errors.As(err, &conflict):
		return &Error{Status: http.StatusConflict, Code: CodeConflict, Message: "another set was published in between", Version: a.version()}
	case errors.As(err, &store) && store.Settled:
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeStoreUnavailable, Message: "the platform's service can't be reached; nothing was changed"}
	case errors.As(err, &store):
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeUnsettled, Message: "the platform's service gave no answer; look at the history to see whether the change took effect"}
	}
	a.Log.Error().Err(err).Msg("operator request failed")
	return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: "internal error; the node's log has more"}
}

// version returns the version of the set in force at this node, or zero if there
// is none.
func (a *API) version() tarragondeal.Version {
	if v := a.Config.View(); v != nil {
		return v.Version
	}
	return 0
}

func badRequest(message string) error {
	return &Error{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: message}
}

// decodeBody decodes the JSON body of a request into v. Unknown fields and
// trailing data are errors.
func decodeBody(r *http.Request, v any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil && dec.More() {
		err = errors.New("something follows it")
	}
	if err != nil {
		return badRequest("the body is not what was expected: " + err.Error())
	}
	return nil
}

func writeError(w http.ResponseWriter, e *Error) { writeJSON(w, e.Status, errorBody{Error: e}) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
