package tdhost

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"tarragondeal"
)

// table is the routing table built from a published set.
type table struct {
	view         *tarragondeal.View
	hosts        map[string]*hostRoutes
	homes        bool  // A route or workspace has homes.
	maxBodyBytes int64 // Maximum size of a request body.
}

// hostRoutes are the routes of one host.
type hostRoutes struct {
	byPrefix map[string]*tarragondeal.Route
	lengths  []int // Of the prefixes, longest first.
	// homes are the data centres of the routes' homes; empty if no route has any.
	homes []string
}

func newTable(v *tarragondeal.View, body int64) *table {
	t := &table{view: v, hosts: make(map[string]*hostRoutes), maxBodyBytes: body}
	for n := range v.Set.Routes {
		r := &v.Set.Routes[n]
		h := t.hosts[r.Host]
		if h == nil {
			h = &hostRoutes{byPrefix: make(map[string]*tarragondeal.Route)}
			t.hosts[r.Host] = h
		}
		h.add(r)
		h.homes = append(h.homes, r.DataCentres...)
		t.homes = t.homes || len(r.DataCentres) > 0
	}
	for n := range v.Set.Workspaces {
		t.homes = t.homes || len(v.Set.Workspaces[n].DataCentres) > 0
	}
	for _, h := range t.hosts {
		slices.SortFunc(h.lengths, func(a, b int) int { return cmp.Compare(b, a) })
	}
	return t
}

// add adds a route unless there is one with the same prefix.
func (h *hostRoutes) add(r *tarragondeal.Route) {
	if _, ok := h.byPrefix[r.Prefix]; ok {
		return
	}
	h.byPrefix[r.Prefix] = r
	if !slices.Contains(h.lengths, len(r.Prefix)) {
		h.lengths = append(h.lengths, len(r.Prefix))
	}
}

// match returns the route of host with the longest prefix of path, or nil.
func (t *table) match(host, path string) *tarragondeal.Route {
	h := t.hosts[hostName(host)]
	if h == nil {
		return nil
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r := h.byPrefix[path[:n]]; r != nil {
			return r
		}
	}
	return nil
}

// hostName returns the host of a Host header in lower case, without port and
// trailing dot.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
