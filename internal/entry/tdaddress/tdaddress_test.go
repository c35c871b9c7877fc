package tdaddress

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
)

func TestAddress(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Address")
}

func addr(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n)) }

func member(n int, dataCentre string, load float64, state tarragondeal.MemberState) tarragondeal.Member {
	return tarragondeal.Member{DataCentre: dataCentre, Entry: addr(n), Load: load, State: state}
}

type fleet []tarragondeal.Member

func (f fleet) Self() tarragondeal.Member      { return f[0] }
func (f fleet) Members() []tarragondeal.Member { return f }
func (f fleet) Changed() <-chan struct{}       { return nil }
func (f fleet) View() *tarragondeal.View       { return tarragondeal.NewView(1, &set) }

var set = tarragondeal.Set{DataCentres: []tarragondeal.DataCentre{
	{Name: "duluth", Region: "lakes"}, {Name: "erie", Region: "lakes"}, {Name: "bergen", Region: "vestlandet"},
}}

var _ = Describe("the addresses", func() {
	alive, leaving := tarragondeal.MemberAlive, tarragondeal.MemberLeaving
	for _, c := range []struct {
		name  string
		fleet fleet
		count int
		want  []netip.AddrPort
	}{
		{"are ordered by distance from the caller", fleet{member(1, "bergen", 0, alive), member(2, "erie", 0, alive), member(3, "duluth", 0, alive)}, 0, []netip.AddrPort{addr(3), addr(2), addr(1)}},
		{"are limited to the requested count", fleet{member(1, "bergen", 0, alive), member(2, "duluth", 0, alive)}, 1, []netip.AddrPort{addr(2)}},
		{"omit nodes that are leaving or suspect", fleet{member(1, "duluth", 0, leaving), member(2, "erie", 0, alive), member(3, "duluth", 0, tarragondeal.MemberSuspect)}, 9, []netip.AddrPort{addr(2)}},
		{"hold the node itself if no node is live", fleet{member(1, "duluth", 0, leaving)}, 3, []netip.AddrPort{addr(1)}},
	} {
		It(c.name, func() {
			got := New(c.fleet, c.fleet, 10*time.Second).Answer("duluth", c.count)
			Expect(got).To(Equal(Answer{Addresses: c.want, TimeToLive: "10s"}))
		})
	}

	It("are weighted by the free capacity of nodes", func() {
		rng := rand.New(rand.NewPCG(1, 2))
		nodes := fleet{member(1, "duluth", 0.5, alive), member(2, "duluth", 0, alive), member(3, "duluth", 2, alive)}
		first := map[netip.AddrPort]int{}
		const draws = 20000
		for range draws {
			first[choose(nodes, func(string) int { return 0 }, 1, rng.Float64)[0]]++
		}
		// The weights are 0.5, 1 and the minimum.
		for n, weight := range []float64{0.5, 1, minWeight} {
			Expect(float64(first[addr(n+1)]) / draws).To(BeNumerically("~", weight/(1.5+minWeight), 0.02))
		}
	})
})
