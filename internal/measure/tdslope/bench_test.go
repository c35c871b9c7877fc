package tdslope

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdchoose"
	"tarragondeal/internal/dispatch/tdowner"
	"tarragondeal/internal/platform/tdwire"
)

// The sizes of the largest fleet that the nodes are designed for.
const (
	largeNodes   = 350
	largeServers = 600
	largeCentres = 7
)

func newMembers(count int) []tarragondeal.Member {
	out := make([]tarragondeal.Member, count)
	for n := range out {
		out[n] = tarragondeal.Member{
			Node:       tarragondeal.NodeID(fmt.Sprintf("entry%03d", n)),
			DataCentre: fmt.Sprintf("dc%d", n%largeCentres), State: tarragondeal.MemberAlive,
		}
	}
	return out
}

func newServers(count int) []tarragondeal.Server {
	out := make([]tarragondeal.Server, count)
	for n := range out {
		out[n] = tarragondeal.Server{
			ID: tarragondeal.ServerID(fmt.Sprintf("narrator-duluth-%04d", n)), Pool: "narrator",
			DataCentre: fmt.Sprintf("dc%d", n%largeCentres), State: tarragondeal.VMLive,
		}
	}
	return out
}

// BenchmarkPlace measures one computation of the owners of all servers, which
// each node does four times per second.
func BenchmarkPlace(b *testing.B) {
	for _, nodes := range []int{7, 50, 150, largeNodes} {
		b.Run(fmt.Sprintf("nodes%d", nodes), func(b *testing.B) {
			m, s := newMembers(nodes), newServers(largeServers)
			region := func(string) string { return "lakes" }
			b.ReportAllocs()
			for b.Loop() {
				_ = tdowner.Place(s, m, region)
			}
		})
	}
}

// BenchmarkPlaceAgain measures the same computation, also done four times per
// second, while neither members nor servers change.
func BenchmarkPlaceAgain(b *testing.B) {
	m, s := newMembers(largeNodes), newServers(largeServers)
	region := func(string) string { return "lakes" }
	p := tdowner.Place(s, m, region)
	b.ReportAllocs()
	for b.Loop() {
		p = p.Next(s, m, region)
	}
}

// BenchmarkUpdate measures one update of the table from which servers are
// chosen, which each node does four times per second.
func BenchmarkUpdate(b *testing.B) {
	for _, count := range []int{50, 150, 300, largeServers} {
		b.Run(fmt.Sprintf("servers%d", count), func(b *testing.B) {
			s := newServers(count)
			pool := func(string) tdchoose.Pool { return tdchoose.Pool{Slots: 8} }
			t := tdchoose.New()
			b.ReportAllocs()
			for b.Loop() {
				t.Update(s, pool)
				for n := range s {
					t.SetFactor(s[n].ID, 1)
				}
			}
		})
	}
}

// BenchmarkList measures the decoding of the platform's list of VMs, which each
// node reads once per second.
func BenchmarkList(b *testing.B) {
	for _, count := range []int{100, 300, 600, largeNodes + largeServers} {
		b.Run(fmt.Sprintf("vms%d", count), func(b *testing.B) {
			vms := make([]tdwire.VM, count)
			for n, s := range newServers(count) {
				vms[n] = tdwire.VM{
					Name: string(s.ID), Kind: tdwire.KindServer, Pool: s.Pool, DataCentre: s.DataCentre,
					Addr: netip.MustParseAddrPort("10.0.0.5:8000"), State: string(s.State),
				}
			}
			text, err := json.Marshal(vms)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var out []tdwire.VM
				if err := json.Unmarshal(text, &out); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes")
		})
	}
}
