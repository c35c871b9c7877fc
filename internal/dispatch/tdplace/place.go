// Package tdplace determines in which data centres and on which servers a request
// is permitted to run.
//
// # Usage
//
//	dataCentres := tdplace.Permitted(view, workspace, route)
//	if len(dataCentres) == 0 {
//		// Refuse the request: no data centre is permitted.
//	}
package tdplace

import (
	"slices"

	"tarragondeal"
)

// Permitted returns the data centres that both the workspace and the route
// permit, in the order of the configuration. It returns nil if there is none.
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

// permits reports whether a list permits a data centre. An empty list permits
// all.
func permits(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// Allows reports whether an ask may run on a server, by its data centre and pool.
func Allows(a *tarragondeal.Ask, s *tarragondeal.Server) bool {
	return slices.Contains(a.DataCentres, s.DataCentre) && slices.Contains(a.Pools, s.Pool)
}
