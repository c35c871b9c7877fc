package tdplanner

import (
	"cmp"
	"slices"

	"tarragondeal"
)

// group is a set of pools that are connected by routes.
type group struct {
	name  string
	pools []*tarragondeal.ServerPool // Lowest cost per slot first.
}

// groups returns the groups of pools that share routes, directly or through
// other pools.
func groups(v *tarragondeal.View) []group {
	parent := make(map[string]string, len(v.ServerPools))
	var root func(string) string
	root = func(name string) string {
		if p, ok := parent[name]; ok && p != name {
			parent[name] = root(p)
			return parent[name]
		}
		return name
	}
	for n := range v.Set.Routes {
		pools := v.Set.Routes[n].Pools
		for k := 1; k < len(pools); k++ {
			parent[root(pools[k])] = root(pools[0])
		}
	}
	members := make(map[string][]*tarragondeal.ServerPool)
	for n := range v.Set.ServerPools {
		p := &v.Set.ServerPools[n]
		members[root(p.Name)] = append(members[root(p.Name)], p)
	}
	out := make([]group, 0, len(members))
	for name, pools := range members {
		slices.SortFunc(pools, func(a, b *tarragondeal.ServerPool) int {
			return cmp.Or(cmp.Compare(slotCost(a), slotCost(b)), cmp.Compare(a.Name, b.Name))
		})
		out = append(out, group{name: name, pools: pools})
	}
	slices.SortFunc(out, func(a, b group) int { return cmp.Compare(a.name, b.name) })
	return out
}

func slotCost(p *tarragondeal.ServerPool) float64 {
	return p.CostPerHour / float64(max(p.Slots, 1))
}

// dataCentres returns the data centres of the set that at least one route of
// the group permits.
func (g group) dataCentres(v *tarragondeal.View) []string {
	var out []string
	for n := range v.Set.DataCentres {
		name := v.Set.DataCentres[n].Name
		for k := range v.Set.Routes {
			r := &v.Set.Routes[k]
			permitted := len(r.DataCentres) == 0 || slices.Contains(r.DataCentres, name)
			if permitted && g.serves(r) {
				out = append(out, name)
				break
			}
		}
	}
	return out
}

func (g group) serves(r *tarragondeal.Route) bool {
	return slices.ContainsFunc(g.pools, func(p *tarragondeal.ServerPool) bool { return slices.Contains(r.Pools, p.Name) })
}
