package tdnode

import (
	"net/http"

	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/entry/tdoperator"
)

// operator is what operators reach.
type operator struct {
	handler http.Handler
}

func (n *Node) buildOperator() error {
	tokens, err := n.cfg.Tokens()
	if err != nil {
		return err
	}
	deps := tdoperator.Deps{
		Config: n.fleet.config, Members: n.fleet.members, Clock: n.clock,
		Metrics: n.metrics.Handler(), Log: tdlog.Part(n.log, "operator"),
		Servers: n.dispatch.servers.Servers,
	}
	for _, t := range tokens {
		deps.Tokens = append(deps.Tokens, tdoperator.Token{Name: t.Name, Text: t.Text})
	}
	n.operator.handler = tdoperator.New(deps).Handler()
	return nil
}
