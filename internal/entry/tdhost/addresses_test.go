package tdhost

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmesh"
	"tarragondeal/platform"
)

// TestAddressesOfHomes guards against callers of a host with homes that are sent to the nodes of
// other regions, and against an answer without addresses if no node is left.
func TestAddressesOfHomes(t *testing.T) {
	h := New(Deps{})
	set := &tarragondeal.Set{Routes: []tarragondeal.Route{
		{Name: "home", Host: "home.example", Prefix: "/", DataCentres: []string{"a"}},
		{Name: "nowhere", Host: "nowhere.example", Prefix: "/", DataCentres: []string{"none"}},
		{Name: "any", Host: "any.example", Prefix: "/"},
	}}
	h.SetView(tarragondeal.NewView(1, set), platform.CallerLimits{})
	node := func(dataCentre, port string) tdmesh.Node {
		return tdmesh.Node{DataCentre: dataCentre, Callers: netip.MustParseAddrPort("127.0.0.1:" + port)}
	}
	for _, c := range []struct {
		query  string
		status int
		want   []string // Ports.
	}{
		{"name=home.example&zone=a&region=north", 200, []string{"1001", "1002"}}, // Of its region.
		{"name=home.example&zone=c&region=south", 200, []string{"1001", "1003"}},
		{"name=HOME.example.:443", 200, []string{"1001"}},
		{"name=home.example&region=east", 200, []string{"1001"}},
		{"name=nowhere.example", 503, nil},
		{"name=nowhere.example&region=south", 200, []string{"1003"}},
		{"name=any.example", 200, []string{"1001", "1002", "1003", "1004"}},
		{"name=other.example", 200, []string{"1001", "1002", "1003", "1004"}},
	} {
		a := &Addresses{
			Nodes: func() []tdmesh.Node {
				return []tdmesh.Node{node("a", "1001"), node("b", "1002"), node("c", "1003"), node("unknown", "1004")}
			},
			Regions: map[string]string{"a": "north", "b": "north", "c": "south"}, MayName: h.MayName,
		}
		w := httptest.NewRecorder()
		a.ServeHTTP(w, httptest.NewRequest(http.MethodGet, platform.AddressPath+"?"+c.query, http.NoBody))
		body := w.Body.String()
		if w.Code != c.status || strings.Count(body, "127.0.0.1") != len(c.want) {
			t.Errorf("%s: %d %s, want %v", c.query, w.Code, body, c.want)
		}
		for _, port := range c.want {
			if !strings.Contains(body, ":"+port) {
				t.Errorf("%s: %s lacks %s", c.query, body, port)
			}
		}
	}
}
