package tdfront

import (
	"net/http"
	"slices"
	"sync"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdrelay"
)

// model takes a call to a model.
func (f *Front) model(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f.take(w, r, func(q *tdflow.Request) (string, error) {
		body, err := tdflow.ParseBody(q.Body)
		if err != nil {
			return "", refused(tarragondeal.ReasonBadRequest, err.Error())
		}
		if body.Model == "" {
			return "", refused(tarragondeal.ReasonBadRequest, "the body names no model")
		}
		q.Model, q.Path = body, r.URL.Path
		return body.Model, nil
	})
}

// service takes a call to a plain service.
func (f *Front) service(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	f.take(w, r, func(q *tdflow.Request) (string, error) {
		var err error
		q.Path, err = servicePath(r, p.ByName("route"))
		return p.ByName("route"), err
	})
}

// take leads one request from its arrival to its end. Decode reads what the
// kind of call needs, and returns the name of the route.
func (f *Front) take(w http.ResponseWriter, r *http.Request, decode func(*tdflow.Request) (string, error)) {
	f.running.Add(1)
	defer f.running.Add(-1)
	q := &tdflow.Request{
		ID: tarragondeal.RequestID(uuid.NewString()), Method: r.Method, Header: headersFor(r),
		IdemKey: r.Header.Get(HeaderIdempotency), Arrived: f.Clock.Now(),
	}
	w.Header().Set(HeaderRequest, string(q.ID))
	w.Header().Set(HeaderRouted, string(q.ID))
	if err := f.serve(w, r, q, decode); err != nil {
		tdrelay.WriteError(w, q.Truth(err))
	}
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, q *tdflow.Request, decode func(*tdflow.Request) (string, error)) error {
	if err := misplaced(r); err != nil {
		return err
	}
	id, err := callerID(r)
	if err != nil {
		return err
	}
	if id != "" {
		w.Header().Set(HeaderRequest, id)
	}
	if q.View, err = f.view(); err != nil {
		return err
	}
	// A caller without a valid key is turned away before its body is read,
	// unless its route may be an open one.
	key, keyErr := bearer(q.View, r)
	if keyErr != nil && !anyOpen(q.View) {
		return keyErr
	}
	if q.Body, err = f.read(w, r); err != nil {
		return err
	}
	route, err := decode(q)
	if err != nil {
		return err
	}
	if err := admit(q, route, key, keyErr); err != nil {
		return err
	}
	return f.limited(w, r, q)
}

// limited runs an admitted request within the limits.
func (f *Front) limited(w http.ResponseWriter, r *http.Request, q *tdflow.Request) error {
	if q.Key != nil {
		if !f.open.enter(q.Key.Name, f.opt.PerKey) {
			return refused(tarragondeal.ReasonConnections, "the key has too many requests open at this node")
		}
		defer f.open.leave(q.Key.Name)
	}
	release, err := f.Limiter.Admit(q.Workspace, q.Key, q.Route, q.Work())
	if err != nil {
		return err
	}
	defer func() { release(q.Tokens) }()
	return f.Flow.Run(r.Context(), w, q)
}

// admit resolves the route and checks that the key's workspace may use it.
func admit(q *tdflow.Request, name string, key *tarragondeal.Key, keyErr error) error {
	q.Route = q.View.Routes[name]
	if q.Route != nil && q.Route.Open {
		return admitTo(q, q.Route.BilledTo)
	}
	if keyErr != nil {
		return keyErr
	}
	if q.Route == nil {
		return refused(tarragondeal.ReasonNoRoute, "no route has that name")
	}
	q.Key = key
	if len(q.Route.Workspaces) > 0 && !slices.Contains(q.Route.Workspaces, key.Workspace) {
		return refused(tarragondeal.ReasonNotPermitted, "the key's workspace may not use this route")
	}
	return admitTo(q, key.Workspace)
}

func admitTo(q *tdflow.Request, workspace string) error {
	q.Workspace = q.View.Workspaces[workspace]
	q.Class = q.View.RequestClasses[q.Route.Class]
	if q.Workspace == nil || q.Class == nil {
		return refused(tarragondeal.ReasonNotReady, "the set in force lacks the route's class or workspace")
	}
	want := tarragondeal.PoolService
	if q.Model != nil {
		want = tarragondeal.PoolModel
	}
	if kind(q.View, q.Route) != want {
		return refused(tarragondeal.ReasonNoRoute, "the route leads to another kind of server")
	}
	return nil
}

// kind returns what the servers of a route speak.
func kind(v *tarragondeal.View, route *tarragondeal.Route) tarragondeal.PoolKind {
	for _, name := range route.Pools {
		if p := v.ServerPools[name]; p != nil {
			return p.Kind
		}
	}
	return ""
}

func anyOpen(v *tarragondeal.View) bool {
	return slices.ContainsFunc(v.Set.Routes, func(r tarragondeal.Route) bool { return r.Open })
}

// lists reports whether a caller is told of a route.
func lists(route *tarragondeal.Route, key *tarragondeal.Key) bool {
	if key == nil {
		return route.Open
	}
	return route.Open || len(route.Workspaces) == 0 || slices.Contains(route.Workspaces, key.Workspace)
}

// counts counts the open requests of each key.
type counts struct {
	mu sync.Mutex
	of map[string]int
}

func newCounts() *counts { return &counts{of: make(map[string]int)} }

func (c *counts) enter(name string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.of[name] >= limit {
		return false
	}
	c.of[name]++
	return true
}

func (c *counts) leave(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.of[name]--
	if c.of[name] <= 0 {
		delete(c.of, name)
	}
}
