// Package tdplace decides where a request is permitted to run.
//
// # Usage
//
//	places := tdplace.Permitted(view, workspace, route)
//	if len(places) == 0 {
//		// Refuse: there is no permitted place.
//	}
package tdplace

import (
	"slices"

	"tarragondeal"
)

// Permitted returns the data centres that both the workspace and the route
// permit, in the order of the set. It is empty when there is none.
func Permitted(v *tarragondeal.View, ws *tarragondeal.Workspace, route *tarragondeal.Route) []string {
	var out []string
	for n := range v.Set.DataCentres {
		name := v.Set.DataCentres[n].Name
		if permits(ws.DataCentres, name) && permits(route.DataCentres, name) {
			out = append(out, name)
		}
	}
	return out
}

// permits reports whether a list allows a data centre; an empty one allows
// all.
func permits(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// Allows reports whether a server is one that the ask may run on.
func Allows(a *tarragondeal.Ask, s *tarragondeal.Server) bool {
	return slices.Contains(a.DataCentres, s.DataCentre) && slices.Contains(a.Pools, s.Pool)
}
