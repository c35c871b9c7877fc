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

// maxBodyBytes bounds a call: a set, escaped as JSON, and a margin.
const maxBodyBytes = 4 * tdset.MaxTextBytes

// Deps are the parts that operators reach through a node.
type Deps struct {
	Config  tarragondeal.Publisher
	Members tarragondeal.Members
	Clock   tarragondeal.Clock
	Tokens  []Token
	Metrics http.Handler
	Log     zerolog.Logger
	// Servers returns the last known backend servers.
	Servers func() []tarragondeal.Server
	// Duties returns who has which duty. It may be nil.
	Duties func(ctx context.Context) ([]Duty, error)
	// Report returns the report on service-level burn. It may be nil.
	Report func(ctx context.Context) (any, error)
}

// Operator is the operators' side of a node.
type Operator struct {
	Deps
	tokens tokens
}

// New returns an operators' side that admits callers with one of the tokens.
func New(d Deps) *Operator {
	return &Operator{Deps: d, tokens: newTokens(d.Tokens)}
}

// Handler serves operators.
func (o *Operator) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/operator/set", o.auth(o.get))
	r.PUT("/operator/set", o.auth(o.put))
	r.GET("/operator/history", o.auth(o.history))
	r.GET("/operator/keys", o.auth(o.keys))
	r.POST("/operator/keys", o.auth(o.issue))
	r.POST("/operator/keys/:name/withdraw", o.auth(o.withdraw))
	r.GET("/operator/status", o.auth(o.status))
	if o.Report != nil {
		r.GET("/operator/report", o.auth(func(r *http.Request, _ httprouter.Params) (any, error) {
			return o.Report(r.Context())
		}))
	}
	r.Handler(http.MethodGet, "/metrics", o.Metrics)
	r.GET("/healthz", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.WriteHeader(http.StatusOK)
	})
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "there is nothing at this path"})
	})
	return r
}

// describe turns an error into a refusal. Errors that operators can't act
// on go to the log in full and to the caller in one sentence.
func (o *Operator) describe(err error) *Error {
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
		return &Error{Status: http.StatusConflict, Code: CodeConflict, Message: "another set was published in between", Version: o.version()}
	case errors.As(err, &store) && store.Settled:
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeStoreAway, Message: "the platform's service can't be reached; nothing was changed"}
	case errors.As(err, &store):
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeUnsettled, Message: "the platform's service gave no answer; look at the history to see whether the change took effect"}
	}
	o.Log.Error().Err(err).Msg("operator's call failed")
	return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: "internal error; the node's log has more"}
}

func (o *Operator) version() tarragondeal.Version {
	if v := o.Config.View(); v != nil {
		return v.Version
	}
	return 0
}

func badRequest(message string) error {
	return &Error{Status: http.StatusBadRequest, Code: CodeBadRequest, Message: message}
}

// read decodes the body of a call.
func read(r *http.Request, v any) error {
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
