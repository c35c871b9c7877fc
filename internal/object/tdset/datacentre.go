package tdset

import (
	"fmt"
	"slices"

	"tarragondeal"
)

// placement reports a fault for each route that has no permitted data centre for
// any workspace, and a warning for each workspace that has no such route.
func (c *checker) placement() {
	served := make(map[string]bool, len(c.set.Workspaces))
	for n := range c.set.Routes {
		r := &c.set.Routes[n]
		if !c.markServed(r, served) && c.resolves(r) {
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

// markServed adds to served the workspaces for which a route has a permitted data
// centre. It reports whether there are any.
func (c *checker) markServed(r *tarragondeal.Route, served map[string]bool) bool {
	found := false
	for n := range c.set.Workspaces {
		ws := &c.set.Workspaces[n]
		if mayUse(r, ws.Name) && c.shareDataCentre(r.DataCentres, ws.DataCentres) {
			served[ws.Name] = true
			found = true
		}
	}
	return found
}

// mayUse reports whether a workspace may use a route. Requests on an open route
// run for the workspace that is billed.
func mayUse(r *tarragondeal.Route, workspace string) bool {
	if r.Open {
		return r.BilledTo == workspace
	}
	return len(r.Workspaces) == 0 || slices.Contains(r.Workspaces, workspace)
}

// shareDataCentre reports whether an existing data centre is permitted by both
// lists. An empty list permits all data centres.
func (c *checker) shareDataCentre(a, b []string) bool {
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

// resolves reports whether all names that determine the permitted data centres of
// a route are known. An unknown name is reported as a fault of its own and has to
// be corrected first.
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

// warnUnused reports a warning for each object that is not used.
func (c *checker) warnUnused() {
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
		c.warnIfUnused(classes, fmt.Sprintf("requestClasses[%d]", n), c.set.RequestClasses[n].Name, "no route uses request class %q")
	}
	for n := range c.set.ServerPools {
		c.warnIfUnused(pools, fmt.Sprintf("serverPools[%d]", n), c.set.ServerPools[n].Name, "no route uses server pool %q")
	}
	for n := range c.set.Workspaces {
		c.warnIfUnused(workspaces, fmt.Sprintf("workspaces[%d]", n), c.set.Workspaces[n].Name, "workspace %q has neither a key nor an open route")
	}
}

func (c *checker) warnIfUnused(used map[string]bool, path, name, format string) {
	if !used[name] && name != "" {
		c.warn(path, format, name)
	}
}
