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
	routes       map[string][]*tarragondeal.Route // By host, longest prefix first.
	maxBodyBytes int64                            // Maximum size of a request body.
}

func newTable(v *tarragondeal.View, body int64) *table {
	t := &table{view: v, routes: make(map[string][]*tarragondeal.Route), maxBodyBytes: body}
	for n := range v.Set.Routes {
		r := &v.Set.Routes[n]
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *tarragondeal.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// match returns the route of host with the longest prefix of path, or nil.
func (t *table) match(host, path string) *tarragondeal.Route {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
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
