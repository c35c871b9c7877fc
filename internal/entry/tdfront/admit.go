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

// handleModel serves a call to a model.
func (f *Front) handleModel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f.handle(w, r, func(q *tdflow.Request) (string, error) {
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

// handleService serves a call to a plain service.
func (f *Front) handleService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	f.handle(w, r, func(q *tdflow.Request) (string, error) {
		var err error
		q.Path, err = servicePath(r, p.ByName("route"))
		return p.ByName("route"), err
	})
}

// handle serves one request. Decode sets the fields of the request that depend
// on the kind of call, and returns the name of the route.
func (f *Front) handle(w http.ResponseWriter, r *http.Request, decode func(*tdflow.Request) (string, error)) {
	f.openRequests.Add(1)
	defer f.openRequests.Add(-1)
	q := &tdflow.Request{
		ID: tarragondeal.RequestID(uuid.NewString()), Method: r.Method, Header: forwardedHeader(r),
		IdemKey: r.Header.Get(HeaderIdempotency), Arrived: f.Clock.Now(),
	}
	w.Header().Set(HeaderRequest, string(q.ID))
	w.Header().Set(HeaderRouted, string(q.ID))
	if err := f.serve(w, r, q, decode); err != nil {
		tdrelay.WriteError(w, q.CorrectRan(err))
	}
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, q *tdflow.Request, decode func(*tdflow.Request) (string, error)) error {
	if err := checkMisplacedKey(r); err != nil {
		return err
	}
	id, err := callerRequestID(r)
	if err != nil {
		return err
	}
	if id != "" {
		w.Header().Set(HeaderRequest, id)
	}
	if q.View, err = f.view(); err != nil {
		return err
	}
	// A request without a valid key is refused before its body is read, unless
	// its route may be an open one.
	key, keyErr := bearerKey(q.View, r)
	if keyErr != nil && !hasOpenRoute(q.View) {
		return keyErr
	}
	if q.Body, err = f.readBody(w, r); err != nil {
		return err
	}
	route, err := decode(q)
	if err != nil {
		return err
	}
	if err := admit(q, route, key, keyErr); err != nil {
		return err
	}
	return f.runLimited(w, r, q)
}

// runLimited runs an admitted request if the limits allow it.
func (f *Front) runLimited(w http.ResponseWriter, r *http.Request, q *tdflow.Request) error {
	if q.Key != nil {
		if !f.openPerKey.acquire(q.Key.Name, f.opt.MaxOpenPerKey) {
			return refused(tarragondeal.ReasonConnections, "the key has too many requests open at this node")
		}
		defer f.openPerKey.release(q.Key.Name)
	}
	release, err := f.Limiter.Admit(q.Workspace, q.Key, q.Route, q.Work())
	if err != nil {
		return err
	}
	defer func() { release(q.Tokens) }()
	return f.Flow.Run(r.Context(), w, q)
}

// admit sets the request's route, workspace and class, and checks that the
// key's workspace may use the route.
func admit(q *tdflow.Request, name string, key *tarragondeal.Key, keyErr error) error {
	q.Route = q.View.Routes[name]
	if q.Route != nil && q.Route.Open {
		return admitWorkspace(q, q.Route.BilledTo)
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
	return admitWorkspace(q, key.Workspace)
}

// admitWorkspace sets the workspace and class, and checks that the route leads
// to servers of the kind that is called.
func admitWorkspace(q *tdflow.Request, workspace string) error {
	q.Workspace = q.View.Workspaces[workspace]
	q.Class = q.View.RequestClasses[q.Route.Class]
	if q.Workspace == nil || q.Class == nil {
		return refused(tarragondeal.ReasonNotReady, "the set in force lacks the route's class or workspace")
	}
	want := tarragondeal.PoolService
	if q.Model != nil {
		want = tarragondeal.PoolModel
	}
	if routeKind(q.View, q.Route) != want {
		return refused(tarragondeal.ReasonNoRoute, "the route leads to another kind of server")
	}
	return nil
}

// routeKind returns the kind of the first known server pool of a route.
func routeKind(v *tarragondeal.View, route *tarragondeal.Route) tarragondeal.PoolKind {
	for _, name := range route.Pools {
		if p := v.ServerPools[name]; p != nil {
			return p.Kind
		}
	}
	return ""
}

// hasOpenRoute reports whether any route can be called without a key.
func hasOpenRoute(v *tarragondeal.View) bool {
	return slices.ContainsFunc(v.Set.Routes, func(r tarragondeal.Route) bool { return r.Open })
}

// isVisible reports whether the holder of a key may use a route. The key is nil
// for callers without one.
func isVisible(route *tarragondeal.Route, key *tarragondeal.Key) bool {
	if key == nil {
		return route.Open
	}
	return route.Open || len(route.Workspaces) == 0 || slices.Contains(route.Workspaces, key.Workspace)
}

// keyCounter counts the open requests by key name.
type keyCounter struct {
	mu   sync.Mutex
	open map[string]int
}

func newKeyCounter() *keyCounter { return &keyCounter{open: make(map[string]int)} }

// acquire counts one more request of a key, unless that exceeds the limit. A
// limit of zero means none.
func (c *keyCounter) acquire(name string, limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit > 0 && c.open[name] >= limit {
		return false
	}
	c.open[name]++
	return true
}

func (c *keyCounter) release(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[name]--
	if c.open[name] <= 0 {
		delete(c.open, name)
	}
}
