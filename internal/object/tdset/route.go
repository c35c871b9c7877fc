package tdset

import (
	"encoding/base64"
	"fmt"
	"slices"

	"tarragondeal"
)

// What the parts of a key measure.
const (
	minSaltBytes = 8
	digestBytes  = 32
)

func (c *checker) routes() {
	for n := range c.set.Routes {
		c.route(fmt.Sprintf("routes[%d]", n), &c.set.Routes[n])
	}
}

func (c *checker) route(path string, r *tarragondeal.Route) {
	if c.view.RequestClasses[r.Class] == nil {
		c.fault(path+".class", "no request class is named %q", clip(r.Class))
	}
	if len(r.Pools) == 0 {
		c.fault(path+".pools", "a route needs a server pool")
	}
	refer(c, path+".pools", "server pool", r.Pools, c.view.ServerPools)
	refer(c, path+".dataCentres", "data centre", r.DataCentres, c.view.DataCentres)
	refer(c, path+".workspaces", "workspace", r.Workspaces, c.view.Workspaces)
	c.limits(path, r.Limits)
	c.kinds(path, r)
	c.open(path, r)
}

// kinds checks that the pools of a route are alike and suit the route.
func (c *checker) kinds(path string, r *tarragondeal.Route) {
	var first *tarragondeal.ServerPool
	for n, name := range r.Pools {
		p := c.view.ServerPools[name]
		if p == nil {
			continue
		}
		if first == nil {
			first = p
		}
		at := fmt.Sprintf("%s.pools[%d]", path, n)
		if p.Kind != first.Kind {
			c.fault(at, "pool %q is of kind %s, and %q of kind %s; a route's pools are alike", p.Name, p.Kind, first.Name, first.Kind)
		}
		if r.NonIdempotent && p.Kind == tarragondeal.PoolModel {
			c.fault(at, "a non-idempotent route needs service pools, and %q is a model pool", p.Name)
		}
	}
	class := c.view.RequestClasses[r.Class]
	if first == nil || class == nil {
		return
	}
	if first.Kind == tarragondeal.PoolModel && class.FirstToken == 0 {
		c.warn(path+".class", "class %q has no firstToken target, so nothing but its deadline is owed here", class.Name)
	}
	if first.Kind == tarragondeal.PoolService && class.Completion == 0 {
		c.warn(path+".class", "class %q has no completion target, so nothing but its deadline is owed here", class.Name)
	}
}

func (c *checker) open(path string, r *tarragondeal.Route) {
	switch {
	case !r.Open && r.BilledTo != "":
		c.fault(path+".billedTo", "only an open route is billed to a workspace that it names")
	case !r.Open:
	case c.view.Workspaces[r.BilledTo] == nil:
		c.fault(path+".billedTo", "an open route needs a workspace that pays; none is named %q", clip(r.BilledTo))
	case len(r.Workspaces) > 0 && !slices.Contains(r.Workspaces, r.BilledTo):
		c.fault(path+".workspaces", "the open route is billed to %q, which is not among its workspaces", r.BilledTo)
	}
	if r.Open && r.Limits == (tarragondeal.Limits{}) {
		c.warn(path+".limits", "an open route without limits lets anyone use all of it")
	}
}

func (c *checker) keys() {
	digests := make(map[string]int, len(c.set.Keys))
	for n := range c.set.Keys {
		k := &c.set.Keys[n]
		path := fmt.Sprintf("keys[%d]", n)
		if c.view.Workspaces[k.Workspace] == nil {
			c.fault(path+".workspace", "no workspace is named %q", clip(k.Workspace))
		}
		c.limits(path, k.Limits)
		// A wrong digest is never repeated: it may be a secret put in the
		// wrong place.
		if b, err := base64.StdEncoding.DecodeString(k.Salt); err != nil || len(b) < minSaltBytes {
			c.fault(path+".salt", "expected base64 of at least %d bytes", minSaltBytes)
		}
		if b, err := base64.StdEncoding.DecodeString(k.Digest); err != nil || len(b) != digestBytes {
			c.fault(path+".digest", "expected base64 of %d bytes", digestBytes)
			continue
		}
		if first, twice := digests[k.Digest]; twice {
			c.fault(path+".digest", "keys[%d] is the same key", first)
			continue
		}
		digests[k.Digest] = n
	}
}
