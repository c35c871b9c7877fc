package tdnode

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/entry/tdoperator"
)

// The keys of lease records in the store.
const (
	leasePrefix = "lease/"
	leaseSuffix = "/holder"
	maxLeases   = 200
)

// operator holds what serves operators.
type operator struct {
	handler http.Handler
	report  func(context.Context) (any, error)
	// handOver hands the measurements over to another node when this one stops.
	handOver func(context.Context) error
}

func (n *Node) buildOperator() error {
	tokens, err := n.cfg.Tokens()
	if err != nil {
		return err
	}
	deps := tdoperator.Deps{
		Config: n.fleet.config, Members: n.fleet.members, Clock: n.clock,
		Metrics: n.metrics.Handler(), Log: tdlog.Part(n.log, "operator"),
		Servers: n.dispatch.servers.Servers, Duties: n.fleet.dutyHolders, Report: n.operator.report,
	}
	for _, t := range tokens {
		deps.Tokens = append(deps.Tokens, tdoperator.Token{Name: t.Name, Text: t.Text})
	}
	n.operator.handler = tdoperator.New(deps).Handler()
	if n.cfg.OperatorCert == "" {
		return nil
	}
	n.listeners.operators, err = tdoperator.NewTLSListener(n.listeners.operators, n.cfg.OperatorCert, n.cfg.OperatorKey, deps.Log)
	return err
}

// dutyHolders returns the recorded holder of each lease.
func (f *fleet) dutyHolders(ctx context.Context) ([]tdoperator.Duty, error) {
	entries, err := f.store.List(ctx, leasePrefix, "", maxLeases)
	if err != nil {
		return nil, err
	}
	var out []tdoperator.Duty
	for _, e := range entries {
		name, ok := strings.CutSuffix(strings.TrimPrefix(e.Key, leasePrefix), leaseSuffix)
		var record struct {
			Holder string `json:"holder"`
		}
		if ok && json.Unmarshal(e.Value, &record) == nil {
			out = append(out, tdoperator.Duty{Name: name, Holder: record.Holder})
		}
	}
	return out, nil
}

// Addresses returns the addresses on which the node listens for callers, other
// nodes and operators.
func (n *Node) Addresses() (callers, peers, operators netip.AddrPort) {
	at := func(ln net.Listener) netip.AddrPort {
		a, _ := netip.ParseAddrPort(ln.Addr().String()) // TCP listeners have such addresses.
		return a
	}
	return at(n.listeners.callers), at(n.listeners.peers), at(n.listeners.operators)
}
