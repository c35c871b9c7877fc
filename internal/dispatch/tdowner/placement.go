package tdowner

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// Placement maps backend servers to their owners according to one node's view of
// the membership. It is immutable.
type Placement struct {
	servers []tarragondeal.Server
	owner   map[tarragondeal.ServerID]tarragondeal.NodeID
	live    map[tarragondeal.NodeID]bool
	members []candidate       // The members it was computed from.
	regions map[string]string // Region by data centre.
}

// candidate is the part of a member that affects a placement.
type candidate struct {
	node       tarragondeal.NodeID
	dataCentre string
	state      tarragondeal.MemberState
}

func candidates(members []tarragondeal.Member) []candidate {
	out := make([]candidate, len(members))
	for n, m := range members {
		out[n] = candidate{node: m.Node, dataCentre: m.DataCentre, state: m.State}
	}
	return out
}

// Next returns the placement for the given servers and members. It returns p
// itself if nothing relevant has changed, since computing the owners of many
// servers among many nodes is slow.
func (p *Placement) Next(servers []tarragondeal.Server, members []tarragondeal.Member, region func(string) string) *Placement {
	if slices.Equal(p.servers, servers) && slices.Equal(p.members, candidates(members)) && p.sameRegions(region) {
		return p
	}
	return Place(servers, members, region)
}

func (p *Placement) sameRegions(region func(string) string) bool {
	for name, r := range p.regions {
		if region(name) != r {
			return false
		}
	}
	return true
}

// Place computes the owners of servers. Region returns the region of a data
// centre. Suspected and leaving nodes own servers only if no other node can, but
// count as live, since their grants keep running.
func Place(servers []tarragondeal.Server, members []tarragondeal.Member, region func(string) string) *Placement {
	p := &Placement{
		servers: servers,
		owner:   make(map[tarragondeal.ServerID]tarragondeal.NodeID, len(servers)),
		live:    make(map[tarragondeal.NodeID]bool, len(members)),
		members: candidates(members),
		regions: make(map[string]string),
	}
	for n := range servers {
		p.regions[servers[n].DataCentre] = region(servers[n].DataCentre)
	}
	for _, m := range members {
		p.regions[m.DataCentre] = region(m.DataCentre)
		if m.State != tarragondeal.MemberDead {
			p.live[m.Node] = true
		}
	}
	eligible := eligibleOwners(members)
	near := make(map[string][]tarragondeal.Member)
	for _, m := range eligible {
		near[m.DataCentre] = append(near[m.DataCentre], m)
	}
	for n := range servers {
		s := &servers[n]
		nodes := near[s.DataCentre]
		if len(nodes) == 0 {
			nodes = inRegion(eligible, region, region(s.DataCentre))
		}
		p.owner[s.ID] = highestHash(s.ID, nodes)
	}
	return p
}

// eligibleOwners returns the members that may own servers: those that are alive,
// or else the suspected, or else the leaving ones, which still accept requests.
func eligibleOwners(members []tarragondeal.Member) []tarragondeal.Member {
	for _, state := range []tarragondeal.MemberState{
		tarragondeal.MemberAlive, tarragondeal.MemberSuspect, tarragondeal.MemberLeaving,
	} {
		var out []tarragondeal.Member
		for _, m := range members {
			if m.State == state {
				out = append(out, m)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// inRegion returns the nodes of the named region, or all nodes if it has none.
func inRegion(nodes []tarragondeal.Member, region func(string) string, name string) []tarragondeal.Member {
	var near []tarragondeal.Member
	for _, m := range nodes {
		if region(m.DataCentre) == name {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		return near
	}
	return nodes
}

// highestHash returns the node with the highest rendezvous hash for a server, or
// "" if there are no nodes.
func highestHash(id tarragondeal.ServerID, nodes []tarragondeal.Member) tarragondeal.NodeID {
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

// Owner returns the owner of a server, or "" if it has none.
func (p *Placement) Owner(id tarragondeal.ServerID) tarragondeal.NodeID { return p.owner[id] }

// Servers returns the servers of the placement. The caller must not change
// them.
func (p *Placement) Servers() []tarragondeal.Server { return p.servers }

// Live reports whether a node is live in this placement.
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
