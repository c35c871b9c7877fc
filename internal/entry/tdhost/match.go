package tdhost

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"tarragondeal"
)

// table is a published set as requests need it.
type table struct {
	view   *tarragondeal.View
	routes map[string][]*tarragondeal.Route // By host, the longest prefix first.
	body   int64                            // Bytes that a body may have.
}

func newTable(v *tarragondeal.View, body int64) *table {
	t := &table{view: v, routes: make(map[string][]*tarragondeal.Route), body: body}
	for n := range v.Set.Routes {
		r := &v.Set.Routes[n]
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *tarragondeal.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// match returns the route of a host whose prefix begins the path, or nil.
func (t *table) match(host, path string) *tarragondeal.Route {
	for _, r := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the name of a Host header without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
