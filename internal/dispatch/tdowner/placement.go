package tdowner

import (
	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// Placement tells who owns which server, as one node sees the membership. It
// is immutable.
type Placement struct {
	servers []tarragondeal.Server
	owner   map[tarragondeal.ServerID]tarragondeal.NodeID
	live    map[tarragondeal.NodeID]bool
}

// Place works out the owners of servers. Region returns a data centre's
// region. A suspected node owns nothing where others can, but counts as live:
// what it holds goes on running.
func Place(servers []tarragondeal.Server, members []tarragondeal.Member, region func(string) string) *Placement {
	p := &Placement{
		servers: servers,
		owner:   make(map[tarragondeal.ServerID]tarragondeal.NodeID, len(servers)),
		live:    make(map[tarragondeal.NodeID]bool, len(members)),
	}
	near := make(map[string][]tarragondeal.Member)
	for _, m := range members {
		if m.State == tarragondeal.MemberAlive || m.State == tarragondeal.MemberSuspect {
			p.live[m.Node] = true
		}
		if m.State == tarragondeal.MemberAlive {
			near[m.DataCentre] = append(near[m.DataCentre], m)
		}
	}
	for n := range servers {
		s := &servers[n]
		nodes := near[s.DataCentre]
		if len(nodes) == 0 {
			nodes = within(members, region, region(s.DataCentre))
		}
		p.owner[s.ID] = highest(s.ID, nodes)
	}
	return p
}

// within returns the live nodes of a region, or all live nodes where it has
// none.
func within(members []tarragondeal.Member, region func(string) string, name string) []tarragondeal.Member {
	var near, all []tarragondeal.Member
	for _, m := range members {
		if m.State != tarragondeal.MemberAlive {
			continue
		}
		all = append(all, m)
		if region(m.DataCentre) == name {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// highest returns the node with the highest hash for a server.
func highest(id tarragondeal.ServerID, nodes []tarragondeal.Member) tarragondeal.NodeID {
	var best tarragondeal.NodeID
	var top uint64
	for _, m := range nodes {
		h := xxhash.Sum64String(string(m.Node) + "/" + string(id))
		if best == "" || h > top || h == top && m.Node < best {
			best, top = m.Node, h
		}
	}
	return best
}

// Owner returns the owner of a server, or "" when there is none.
func (p *Placement) Owner(id tarragondeal.ServerID) tarragondeal.NodeID { return p.owner[id] }

// Servers returns the servers of the placement. The caller must not change
// them.
func (p *Placement) Servers() []tarragondeal.Server { return p.servers }

// Live reports whether a node was live.
func (p *Placement) Live(n tarragondeal.NodeID) bool { return p.live[n] }

// Owned returns the servers that a node owns.
func (p *Placement) Owned(n tarragondeal.NodeID) []tarragondeal.Server {
	var out []tarragondeal.Server
	for _, s := range p.servers {
		if p.owner[s.ID] == n {
			out = append(out, s)
		}
	}
	return out
}
