// Package tdaddress tells callers which entry VMs to use.
//
// # Usage
//
//	a := tdaddress.New(members)
//	answer := a.Answer("duluth")
package tdaddress

import (
	"net/netip"
	"time"

	"tarragondeal"
)

// timeToLive is how long a caller may keep an answer.
const timeToLive = 10 * time.Second

// Answer is what a caller is told.
type Answer struct {
	Addresses  []netip.AddrPort `json:"addresses"`
	TimeToLive string           `json:"timeToLive"`
}

// Addresses chooses among the live nodes.
type Addresses struct {
	members tarragondeal.Members
}

// New returns addresses taken from the membership.
func New(m tarragondeal.Members) *Addresses { return &Addresses{members: m} }

// Answer returns the addresses of live nodes, those in the caller's data
// centre first.
func (a *Addresses) Answer(dataCentre string) Answer {
	out := Answer{TimeToLive: timeToLive.String()}
	var far []netip.AddrPort
	for _, m := range a.members.Members() {
		switch {
		case m.State != tarragondeal.MemberAlive:
		case m.DataCentre == dataCentre:
			out.Addresses = append(out.Addresses, m.Entry)
		default:
			far = append(far, m.Entry)
		}
	}
	out.Addresses = append(out.Addresses, far...)
	return out
}
