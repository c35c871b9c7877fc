// Package tdoperator serves operators: publishing sets, keys and status. It
// listens on a port of its own, and every call carries the operators' token.
//
// # Usage
//
//	o := tdoperator.New(deps, token)
//	srv := &http.Server{Handler: o.Handler()}
package tdoperator

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

// maxBodyBytes bounds a set sent by an operator.
const maxBodyBytes = 32 << 20

// Operator is the operators' side of a node.
type Operator struct {
	config  tarragondeal.Publisher
	members tarragondeal.Members
	token   string
	metrics http.Handler
}

// New returns an operators' side that admits callers with the token.
func New(c tarragondeal.Publisher, m tarragondeal.Members, token string, metrics http.Handler) *Operator {
	return &Operator{config: c, members: m, token: token, metrics: metrics}
}

// Handler serves operators.
func (o *Operator) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/operator/set", o.auth(o.get))
	r.PUT("/operator/set", o.auth(o.put))
	r.GET("/operator/status", o.auth(o.status))
	r.Handler(http.MethodGet, "/metrics", o.metrics)
	return r
}

func (o *Operator) auth(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		text, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(text), []byte(o.token)) != 1 {
			http.Error(w, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		h(w, r, p)
	}
}

// Published is a set and the version it was published as.
type Published struct {
	Version tarragondeal.Version `json:"version"`
	Set     *tarragondeal.Set    `json:"set,omitempty"`
	Text    string               `json:"text,omitempty"` // The set as YAML.
}

func (o *Operator) get(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	out := Published{Set: &tarragondeal.Set{}}
	if v := o.config.View(); v != nil {
		out = Published{Version: v.Version, Set: v.Set}
	}
	writeJSON(w, http.StatusOK, out)
}

func (o *Operator) put(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var in Published
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set, err := tdset.Parse("set", []byte(in.Text))
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	version, err := o.config.Publish(r.Context(), in.Version, set, tarragondeal.Publication{})
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		http.Error(w, "another set was published in between", http.StatusConflict)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, Published{Version: version})
}

// Status is what one node knows of the fleet.
type Status struct {
	Self    tarragondeal.Member   `json:"self"`
	Members []tarragondeal.Member `json:"members"`
	Version tarragondeal.Version  `json:"version"`
}

func (o *Operator) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	out := Status{Self: o.members.Self(), Members: o.members.Members()}
	if v := o.config.View(); v != nil {
		out.Version = v.Version
	}
	writeJSON(w, http.StatusOK, out)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
