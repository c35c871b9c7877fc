package tdhost

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdplace"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/platform"
)

// ExplainPath is the path at which a node explains where it would send a request.
const ExplainPath = "/explain"

// defaultExplained is the number of servers in an explanation if the caller names none.
const defaultExplained = 10

// Explainer adds to an explanation what a node would do with a request.
type Explainer interface {
	Explain(a tarragondeal.Ask, out *tarragondeal.Explanation)
}

// Explain returns a handler that explains where a request would be sent now, without sending
// it. The query names the request's host, path and workspace, and how many servers are
// wanted (0: all). Its headers describe the request as a caller's would.
func (h *Host) Explain(e Explainer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, problem := h.explain(e, r)
		if problem != "" {
			http.Error(w, problem, http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(out); err != nil {
			h.Log.Debug().Err(err).Msg("writing an explanation failed")
		}
	})
}

// explain returns the explanation, or what is wrong with the query.
func (h *Host) explain(e Explainer, r *http.Request) (out tarragondeal.Explanation, problem string) {
	t, query, c := h.table.Load(), r.URL.Query(), platform.DecodeCaller(r.Header)
	if t == nil {
		return out, "no configuration is known yet"
	}
	path, _, _ := strings.Cut(query.Get("path"), "?")
	route := t.match(query.Get("host"), path)
	if route == nil {
		return out, "no route has that host and path"
	}
	q := &tdflow.Request{
		ID: "explain", View: t.view, Route: route, Class: t.view.RequestClasses[route.Class], Workspace: &tarragondeal.Workspace{},
		Method: http.MethodGet, Path: path, Parts: c.Parts, Input: c.Input, Output: c.Output, OutputHint: c.OutputHint,
	}
	if name := query.Get("workspace"); name != "" {
		if q.Workspace = t.view.Workspaces[name]; q.Workspace == nil {
			return out, "no workspace has that name"
		}
	}
	dataCentres := tdplace.Permitted(t.view, q.Workspace, route)
	if len(dataCentres) == 0 {
		return out, "workspace and route permit no common data centre"
	}
	a := q.Ask(dataCentres)
	a.Attempt, a.Deadline = 1, time.Duration(q.Class.Deadline)
	if c.Deadline > 0 {
		a.Deadline = min(a.Deadline, c.Deadline)
	}
	a.Target = time.Duration(q.Class.Completion)
	if q.Class.Events {
		a.Target = time.Duration(q.Class.FirstToken)
	}
	out = tarragondeal.Explanation{Version: t.view.Version, Route: route.Name, Workspace: q.Workspace.Name, Class: q.Class.Name, Tier: a.Tier}
	e.Explain(a, &out)
	limit, err := strconv.Atoi(query.Get("servers"))
	if err != nil {
		limit = defaultExplained
	}
	if limit > 0 {
		out.Servers = out.Servers[:min(len(out.Servers), limit)]
	}
	return out, ""
}
