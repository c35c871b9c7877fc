package tdnode

import (
	"tarragondeal"
	"tarragondeal/internal/account/tdclaim"
	"tarragondeal/internal/account/tdusage"
	"tarragondeal/internal/base/tdlog"
)

// account is what is counted and what runs at most once.
type account struct {
	claims tarragondeal.Claims
	meter  tarragondeal.Meter
	burn   tarragondeal.Burn
}

func (n *Node) buildAccount() error {
	claims := tdclaim.New(tdclaim.Deps{
		Store: n.fleet.store, Members: n.fleet.members, Clock: n.clock, Log: tdlog.Part(n.log, "claims"),
	}, tdclaim.Config{
		MaxRun: n.cfg.ClaimsMaxRun, MaxAnswer: n.cfg.ClaimsMaxAnswer,
		Wait: n.cfg.ClaimsWait, Pending: n.cfg.ClaimsPending,
	})
	n.account.claims = claims
	n.add("end claims", claims.Run)
	n.account.meter = tdusage.New()
	n.account.burn = noBurn{}
	return nil
}

// noBurn drops samples.
type noBurn struct{}

func (noBurn) Observe(tarragondeal.Sample) {}
