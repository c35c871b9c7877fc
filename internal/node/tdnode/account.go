package tdnode

import (
	"tarragondeal"
	"tarragondeal/internal/account/tdclaim"
	"tarragondeal/internal/account/tdusage"
)

// account is what is counted and what runs at most once.
type account struct {
	claims tarragondeal.Claims
	meter  tarragondeal.Meter
	burn   tarragondeal.Burn
}

func (n *Node) buildAccount() error {
	n.account.claims = tdclaim.New(n.fleet.store)
	n.account.meter = tdusage.New()
	n.account.burn = noBurn{}
	return nil
}

// noBurn drops samples.
type noBurn struct{}

func (noBurn) Observe(tarragondeal.Sample) {}
