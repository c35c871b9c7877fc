// Package tdaddress selects the entry VMs that a caller should connect to. There
// is no load balancer in front of them: callers fetch a list of addresses, cache
// it for its time to live and connect to one of them.
//
// # Usage
//
//	a := tdaddress.New(members, config, timeToLive)
//	answer := a.Answer("duluth", 3)
package tdaddress

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"tarragondeal"
)

const (
	// DefaultCount is the number of addresses in an answer if the caller asks
	// for no particular number.
	DefaultCount = 3
	// maxCount is the maximum number of addresses in an answer.
	maxCount = 32
	// minWeight is the least weight of a node, so that even a fully loaded
	// node is still listed first at times.
	minWeight = 0.05
)

// Answer is a list of addresses, and how long a caller may cache it.
type Answer struct {
	Addresses  []netip.AddrPort `json:"addresses"`
	TimeToLive string           `json:"timeToLive"`
}

// Addresses selects addresses of live nodes.
type Addresses struct {
	members tarragondeal.Members
	config  tarragondeal.Config
	ttl     time.Duration
}

// New returns an Addresses that selects from the members. Callers may cache an
// answer for ttl.
func New(m tarragondeal.Members, c tarragondeal.Config, ttl time.Duration) *Addresses {
	return &Addresses{members: m, config: c, ttl: ttl}
}

// Answer returns up to count addresses of live nodes, those in the caller's
// data centre first. If count is not positive, it is DefaultCount. If no node
// is live, the answer holds only the address of this node.
func (a *Addresses) Answer(dataCentre string, count int) Answer {
	if count <= 0 {
		count = DefaultCount
	}
	chosen := choose(a.members.Members(), a.distance(dataCentre), min(count, maxCount), rand.Float64)
	if len(chosen) == 0 {
		chosen = []netip.AddrPort{a.members.Self().Entry}
	}
	return Answer{Addresses: chosen, TimeToLive: a.ttl.String()}
}

// distance returns a function for the distance of a data centre from the
// caller's: 0 for the same, 1 for one in the same region, 2 for others.
func (a *Addresses) distance(from string) func(string) int {
	v := a.config.View()
	region := func(name string) string {
		if v == nil || v.DataCentres[name] == nil {
			return ""
		}
		return v.DataCentres[name].Region
	}
	home := region(from)
	return func(to string) int {
		switch {
		case to == from:
			return 0
		case home != "" && region(to) == home:
			return 1
		default:
			return 2
		}
	}
}

// choose returns up to count addresses of live members, ordered by distance.
// Members at the same distance are in random order, weighted by their free
// capacity. Random returns numbers in [0,1).
func choose(members []tarragondeal.Member, distance func(string) int, count int, random func() float64) []netip.AddrPort {
	type candidate struct {
		distance int
		order    float64
		addr     netip.AddrPort
	}
	var all []candidate
	for _, m := range members {
		if m.State != tarragondeal.MemberAlive || !m.Entry.IsValid() {
			continue
		}
		weight := min(1, max(minWeight, 1-m.Load))
		// Of exponential random values with the weights as rates, each is the
		// smallest with a probability in proportion to its weight.
		order := -math.Log(1-random()) / weight
		all = append(all, candidate{distance: distance(m.DataCentre), order: order, addr: m.Entry})
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(x.order, y.order))
	})
	var out []netip.AddrPort
	for _, c := range all[:min(count, len(all))] {
		out = append(out, c.addr)
	}
	return out
}
