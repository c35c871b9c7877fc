package tdset

import (
	"encoding/base64"
	"fmt"
	"slices"

	"tarragondeal"
)

// Decoded lengths of the salt and the digest of a key.
const (
	minSaltBytes = 8
	digestBytes  = 32 // SHA-256.
)

func (c *checker) routes() {
	for n := range c.set.Routes {
		c.route(fmt.Sprintf("routes[%d]", n), &c.set.Routes[n])
	}
}

func (c *checker) route(path string, r *tarragondeal.Route) {
	if c.view.RequestClasses[r.Class] == nil {
		c.fault(path+".class", "no request class is named %q", truncate(r.Class))
	}
	if len(r.Pools) == 0 {
		c.fault(path+".pools", "a route needs a server pool")
	}
	checkRefs(c, path+".pools", "server pool", r.Pools, c.view.ServerPools)
	checkRefs(c, path+".dataCentres", "data centre", r.DataCentres, c.view.DataCentres)
	checkRefs(c, path+".workspaces", "workspace", r.Workspaces, c.view.Workspaces)
	c.limits(path, r.Limits)
	c.poolKinds(path, r)
	c.openRoute(path, r)
}

// poolKinds checks that the pools of a route are of one kind that suits the route
// and its class.
func (c *checker) poolKinds(path string, r *tarragondeal.Route) {
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

// openRoute checks that an open route, and only an open route, is billed to a
// workspace that may use it.
func (c *checker) openRoute(path string, r *tarragondeal.Route) {
	switch {
	case !r.Open && r.BilledTo != "":
		c.fault(path+".billedTo", "only an open route is billed to a workspace that it names")
	case !r.Open:
	case c.view.Workspaces[r.BilledTo] == nil:
		c.fault(path+".billedTo", "an open route needs a workspace that pays; none is named %q", truncate(r.BilledTo))
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
			c.fault(path+".workspace", "no workspace is named %q", truncate(k.Workspace))
		}
		c.limits(path, k.Limits)
		// The message does not contain the invalid digest, since it may be a
		// secret that was put in the wrong field.
		if b, err := base64.StdEncoding.DecodeString(k.Salt); err != nil || len(b) < minSaltBytes {
			c.fault(path+".salt", "expected base64 of at least %d bytes", minSaltBytes)
		}
		if b, err := base64.StdEncoding.DecodeString(k.Digest); err != nil || len(b) != digestBytes {
			c.fault(path+".digest", "expected base64 of %d bytes", digestBytes)
			continue
		}
		if first, dup := digests[k.Digest]; dup {
			c.fault(path+".digest", "keys[%d] is the same key", first)
			continue
		}
		digests[k.Digest] = n
	}
}
