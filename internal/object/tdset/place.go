package tdset

import (
	"fmt"
	"slices"

	"tarragondeal"
)

// places checks that each route can be served somewhere, and that each
// workspace can use a route.
func (c *checker) places() {
	served := make(map[string]bool, len(c.set.Workspaces))
	for n := range c.set.Routes {
		r := &c.set.Routes[n]
		if !c.placed(r, served) && c.resolves(r) {
			c.fault(fmt.Sprintf("routes[%d].dataCentres", n),
				"route %q has no permitted data centre for any workspace that may use it", r.Name)
		}
	}
	for n := range c.set.Workspaces {
		ws := &c.set.Workspaces[n]
		if !served[ws.Name] && len(c.set.Routes) > 0 {
			c.warn(fmt.Sprintf("workspaces[%d]", n), "workspace %q has no route with a permitted data centre", ws.Name)
		}
	}
}

// placed marks the workspaces for which a route has a permitted data centre
// and reports whether there is one.
func (c *checker) placed(r *tarragondeal.Route, served map[string]bool) bool {
	any := false
	for n := range c.set.Workspaces {
		ws := &c.set.Workspaces[n]
		if mayUse(r, ws.Name) && c.common(r.DataCentres, ws.DataCentres) {
			served[ws.Name] = true
			any = true
		}
	}
	return any
}

func mayUse(r *tarragondeal.Route, workspace string) bool {
	if r.Open {
		return r.BilledTo == workspace
	}
	return len(r.Workspaces) == 0 || slices.Contains(r.Workspaces, workspace)
}

// common reports whether two lists of permitted data centres, of which an
// empty one permits all, share one that exists.
func (c *checker) common(a, b []string) bool {
	if len(a) == 0 {
		a, b = b, a
	}
	if len(a) == 0 {
		return len(c.set.DataCentres) > 0
	}
	return slices.ContainsFunc(a, func(name string) bool {
		return c.view.DataCentres[name] != nil && (len(b) == 0 || slices.Contains(b, name))
	})
}

// resolves reports whether all names that decide on a route's places are
// known. When one is not, that is the fault to mend first.
func (c *checker) resolves(r *tarragondeal.Route) bool {
	known := func(name string) bool { return c.view.Workspaces[name] != nil }
	for _, name := range r.Workspaces {
		if !known(name) {
			return false
		}
	}
	for _, name := range r.DataCentres {
		if c.view.DataCentres[name] == nil {
			return false
		}
	}
	return !r.Open || known(r.BilledTo)
}

// uses warns of objects that nothing uses.
func (c *checker) uses() {
	classes, pools, workspaces := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for n := range c.set.Routes {
		r := &c.set.Routes[n]
		classes[r.Class] = true
		for _, p := range r.Pools {
			pools[p] = true
		}
		if r.Open {
			workspaces[r.BilledTo] = true
		}
	}
	for n := range c.set.Keys {
		if !c.set.Keys[n].Withdrawn {
			workspaces[c.set.Keys[n].Workspace] = true
		}
	}
	for n := range c.set.RequestClasses {
		c.unused(classes, fmt.Sprintf("requestClasses[%d]", n), c.set.RequestClasses[n].Name, "no route uses request class %q")
	}
	for n := range c.set.ServerPools {
		c.unused(pools, fmt.Sprintf("serverPools[%d]", n), c.set.ServerPools[n].Name, "no route uses server pool %q")
	}
	for n := range c.set.Workspaces {
		c.unused(workspaces, fmt.Sprintf("workspaces[%d]", n), c.set.Workspaces[n].Name, "workspace %q has neither a key nor an open route")
	}
}

func (c *checker) unused(used map[string]bool, path, name, format string) {
	if !used[name] && name != "" {
		c.warn(path, format, name)
	}
}
