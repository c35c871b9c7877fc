// Package tdaddress tells callers which entry VMs to use. No balancer stands
// in front of them: callers keep an answer for a while and connect
// themselves.
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
	// DefaultCount is how many addresses a caller gets that asks for none in
	// particular.
	DefaultCount = 3
	// maxCount bounds an answer.
	maxCount = 32
	// leastRoom is the room that even the busiest node is said to have, so
	// that it is still named now and then.
	leastRoom = 0.05
)

// Answer is what a caller is told.
type Answer struct {
	Addresses  []netip.AddrPort `json:"addresses"`
	TimeToLive string           `json:"timeToLive"`
}

// Addresses chooses among the live nodes.
type Addresses struct {
	members tarragondeal.Members
	config  tarragondeal.Config
	ttl     time.Duration
}

// New returns addresses taken from the membership. Callers may keep an answer
// for ttl.
func New(m tarragondeal.Members, c tarragondeal.Config, ttl time.Duration) *Addresses {
	return &Addresses{members: m, config: c, ttl: ttl}
}

// Answer returns up to count addresses of live nodes, those in the caller's
// data centre first. Zero stands for the usual count.
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

// distance returns how far a data centre is from the caller's: the same, in
// the same region, or elsewhere.
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

// choose orders the live members by distance and, among those equally far, at
// random, so that a node is first as often as its room says.
func choose(members []tarragondeal.Member, distance func(string) int, count int, chance func() float64) []netip.AddrPort {
	type candidate struct {
		far   int
		place float64
		addr  netip.AddrPort
	}
	var all []candidate
	for _, m := range members {
		if m.State != tarragondeal.MemberAlive || !m.Entry.IsValid() {
			continue
		}
		room := min(1, max(leastRoom, 1-m.Load))
		// The least of exponential draws with these rates comes first as
		// often as its rate's share.
		place := -math.Log(1-chance()) / room
		all = append(all, candidate{far: distance(m.DataCentre), place: place, addr: m.Entry})
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.far, y.far), cmp.Compare(x.place, y.place))
	})
	var out []netip.AddrPort
	for _, c := range all[:min(count, len(all))] {
		out = append(out, c.addr)
	}
	return out
}
