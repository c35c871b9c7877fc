package tdnode

import (
	"net/http"

	"tarragondeal/internal/entry/tdoperator"
)

// operator is what operators reach.
type operator struct {
	handler http.Handler
}

func (n *Node) buildOperator() error {
	op := tdoperator.New(n.fleet.config, n.fleet.members, n.cfg.OperatorToken, n.metrics.Handler())
	n.operator.handler = op.Handler()
	return nil
}
