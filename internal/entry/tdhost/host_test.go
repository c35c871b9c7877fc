package tdhost

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmesh"
)

// TestCallerStatus checks that callers get a status that means "not run" only if
// the request has not run.
func TestCallerStatus(t *testing.T) {
	promises := map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}
	for status := 400; status < 600; status++ {
		if got := callerStatus(status, true); got >= 500 && got != http.StatusServiceUnavailable {
			t.Errorf("status %d of a request that has not run becomes %d", status, got)
		}
		if got := callerStatus(status, false); promises[got] {
			t.Errorf("status %d of a request that may have run becomes %d", status, got)
		}
	}
	for _, c := range []struct {
		status int
		notRun bool
		want   int
	}{
		{http.StatusServiceUnavailable, false, http.StatusBadGateway},
		{http.StatusGatewayTimeout, false, http.StatusGatewayTimeout},
		{http.StatusGatewayTimeout, true, http.StatusServiceUnavailable},
		{http.StatusUnprocessableEntity, true, http.StatusServiceUnavailable},
		{http.StatusForbidden, true, http.StatusServiceUnavailable},
		{http.StatusUnauthorized, true, http.StatusUnauthorized},
	} {
		if got := callerStatus(c.status, c.notRun); got != c.want {
			t.Errorf("%d, not run %t: %d", c.status, c.notRun, got)
		}
	}
}

func TestRetryAfterLeavesTimeToServe(t *testing.T) {
	for _, left := range []time.Duration{100 * time.Millisecond, time.Second, time.Minute} {
		for range 100 {
			if got := retryAfter(500*time.Millisecond, left); got > left/3+time.Millisecond {
				t.Fatalf("%s of %s left", got, left)
			}
		}
	}
}

func TestMatch(t *testing.T) {
	set := &tarragondeal.Set{Routes: []tarragondeal.Route{
		{Name: "short", Host: "x.example", Prefix: "/a/"}, {Name: "long", Host: "x.example", Prefix: "/a/b/"},
		{Name: "other", Host: "y.example", Prefix: "/a/"}, {Name: "repeated", Host: "y.example", Prefix: "/a/"},
	}}
	table := newTable(tarragondeal.NewView(1, set), 0)
	for _, c := range []struct{ host, path, want string }{
		{"x.example", "/a/1", "short"},
		{"x.example", "/a/b/1", "long"},
		{"X.Example:8080", "/a/b/1", "long"},
		{"y.example", "/a/b/1", "other"},
		{"x.example", "/a", ""},
		{"x.example", "/b/", ""},
		{"z.example", "/a/", ""},
	} {
		got := ""
		if r := table.match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestChoose(t *testing.T) {
	node := func(n int, centre string) tdmesh.Node {
		return tdmesh.Node{DataCentre: centre, Callers: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", n))}
	}
	for _, c := range []struct {
		name  string
		nodes []tdmesh.Node
		want  int
	}{
		{"enough local nodes", []tdmesh.Node{node(1, "a"), node(2, "a"), node(3, "b")}, 2},
		{"one local node", []tdmesh.Node{node(1, "a"), node(2, "b"), node(3, "b")}, 3},
		{"no local node", []tdmesh.Node{node(2, "b")}, 1},
		{"no nodes", nil, 0},
	} {
		if got := Choose(c.nodes, "a"); len(got) != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	var many []tdmesh.Node
	for n := range 200 {
		many = append(many, node(n, "a"))
	}
	if got := Choose(many, "a"); len(got) != maxAddresses {
		t.Errorf("%d addresses", len(got))
	}
}
