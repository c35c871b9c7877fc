package tdowner_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdowner"
	_ "tarragondeal/internal/test/tdtestseed"
)

func regionOf(dataCentre string) string {
	if dataCentre == "oslo" {
		return "east"
	}
	return "west"
}

// TestPlace checks that every server has one owner that is eligible and in the
// server's data centre or else in its region, and that the death of a node moves
// only the servers that it owned.
func TestPlace(t *testing.T) {
	centres := []string{"bergen", "voss", "oslo"}
	rapid.Check(t, func(t *rapid.T) {
		var members []tarragondeal.Member
		alive := map[string]int{}
		for n := range rapid.IntRange(1, 8).Draw(t, "nodes") {
			m := tarragondeal.Member{
				Node: tarragondeal.NodeID(fmt.Sprint("node", n)), DataCentre: rapid.SampledFrom(centres).Draw(t, "centre"),
				State: rapid.SampledFrom([]tarragondeal.MemberState{
					tarragondeal.MemberAlive, tarragondeal.MemberAlive, tarragondeal.MemberSuspect, tarragondeal.MemberLeaving, tarragondeal.MemberDead,
				}).Draw(t, "state"),
			}
			members = append(members, m)
			if m.State == tarragondeal.MemberAlive {
				alive[m.DataCentre]++
				alive[regionOf(m.DataCentre)]++
			}
		}
		var servers []tarragondeal.Server
		for n := range 20 {
			servers = append(servers, tarragondeal.Server{ID: tarragondeal.ServerID(fmt.Sprint("s", n)), DataCentre: centres[n%3]})
		}
		p := tdowner.Place(servers, members, regionOf)
		find := func(id tarragondeal.NodeID) tarragondeal.Member {
			for _, m := range members {
				if m.Node == id {
					return m
				}
			}
			return tarragondeal.Member{State: tarragondeal.MemberDead}
		}
		for _, s := range servers {
			o := find(p.Owner(s.ID))
			switch {
			case alive["west"]+alive["east"] == 0:
			case o.State != tarragondeal.MemberAlive:
				t.Fatalf("owner of %s is %s, which is not alive", s.ID, o.Node)
			case alive[s.DataCentre] > 0 && o.DataCentre != s.DataCentre,
				alive[regionOf(s.DataCentre)] > 0 && regionOf(o.DataCentre) != regionOf(s.DataCentre):
				t.Fatalf("owner of %s in %s is %s in %s, although a nearer node is alive", s.ID, s.DataCentre, o.Node, o.DataCentre)
			}
		}
		if p.Next(slices.Clone(servers), slices.Clone(members), regionOf) != p {
			t.Fatal("Next computed a new placement although nothing changed")
		}
		dead := members[0]
		if dead.State != tarragondeal.MemberAlive || alive[dead.DataCentre] < 2 {
			return
		}
		members[0].State = tarragondeal.MemberDead
		next := p.Next(servers, members, regionOf)
		for _, s := range servers {
			if p.Owner(s.ID) != dead.Node && next.Owner(s.ID) != p.Owner(s.ID) {
				t.Fatalf("%s moved from %s to %s when %s died", s.ID, p.Owner(s.ID), next.Owner(s.ID), dead.Node)
			}
		}
	})
}
