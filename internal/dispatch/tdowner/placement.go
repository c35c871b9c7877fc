package tdowner

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
)

// Placement tells who owns which server, as one node sees the membership. It
// is immutable.
type Placement struct {
	servers []tarragondeal.Server
	owner   map[tarragondeal.ServerID]tarragondeal.NodeID
	live    map[tarragondeal.NodeID]bool
	members []candidate       // What it was worked out from.
	regions map[string]string // Of the data centres.
}

// candidate is what of a member matters to a placement.
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

// Next returns the placement of servers now: p itself when nothing that
// matters has changed, since working out the owners of many servers among
// many nodes takes long.
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

// Place works out the owners of servers. Region returns a data centre's
// region. Nodes that are suspected or leaving own nothing where others can,
// but count as live: what they hold goes on running.
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
	able := owners(members)
	near := make(map[string][]tarragondeal.Member)
	for _, m := range able {
		near[m.DataCentre] = append(near[m.DataCentre], m)
	}
	for n := range servers {
		s := &servers[n]
		nodes := near[s.DataCentre]
		if len(nodes) == 0 {
			nodes = within(able, region, region(s.DataCentre))
		}
		p.owner[s.ID] = highest(s.ID, nodes)
	}
	return p
}

// owners returns the members that may own servers. The last nodes go on
// owning them while they are suspected or leave, since they still take
// requests.
func owners(members []tarragondeal.Member) []tarragondeal.Member {
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

// within returns the nodes of a region, or all nodes where it has none.
func within(nodes []tarragondeal.Member, region func(string) string, name string) []tarragondeal.Member {
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
