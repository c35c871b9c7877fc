// Package tdnode puts the parts of a node together and runs them until the
// node is asked to stop.
//
// # Usage
//
//	n, err := tdnode.New(settings, os.Stderr)
//	err = n.Run(ctx)
//
// Each area has its own file here that makes its parts: fleet.go,
// dispatch.go, account.go, burn.go, capacity.go, entry.go and operator.go.
package tdnode

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/base/tdmetric"
	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/node/tdsettings"
	"tarragondeal/internal/platform/tdbackend"
	"tarragondeal/internal/platform/tdkv"
	"tarragondeal/internal/platform/tdsite"
)

// platformIdle is how many unused connections to the platform are kept.
const platformIdle = 16

// Node is one process of the router.
type Node struct {
	cfg     tdsettings.Settings
	log     zerolog.Logger // The base of the parts' loggers.
	nodeLog zerolog.Logger
	clock   tarragondeal.Clock
	metrics *tdmetric.Metrics
	duties  []duty // In the order in which they start.

	kv      tarragondeal.Store // Bare calls; parts use store.
	site    *tdsite.Site
	backend tarragondeal.Backend

	fleet    fleet
	dispatch dispatch
	account  account
	entry    entry
	operator operator

	listeners listeners
}

type duty struct {
	name string
	run  func(context.Context) error
}

type listeners struct {
	callers, peers, operators net.Listener
}

// New makes a node and opens its listeners. The error says which setting is
// wrong or which address can't be used.
func New(s tdsettings.Settings, logTo io.Writer) (*Node, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "setting log.level")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformIdle}}
	clock := tdclock.New()
	n := &Node{
		cfg: s, clock: clock, metrics: tdmetric.New(s.Name),
		log:  tdlog.New(logTo, s.Name, level),
		kv:   tdkv.New(s.PlatformURL, client, clock),
		site: tdsite.New(s.PlatformURL, client), backend: tdbackend.New(),
	}
	n.nodeLog = tdlog.Part(n.log, "node")
	if err := n.listen(); err != nil {
		return nil, err
	}
	for _, build := range n.builders() {
		if err := build(); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// builders returns what makes the parts, in the order in which they need
// each other.
func (n *Node) builders() []func() error {
	return []func() error{
		n.buildFleet, n.buildDispatch, n.buildAccount, n.buildBurn, n.buildCapacity, n.buildEntry, n.buildOperator,
	}
}

func (n *Node) listen() error {
	var err error
	if n.listeners.callers, err = net.Listen("tcp", n.cfg.ListenCallers); err != nil {
		return eris.Wrap(err, "setting listen.callers")
	}
	if n.listeners.peers, err = net.Listen("tcp", n.cfg.ListenPeers); err != nil {
		return eris.Wrap(err, "setting listen.peers")
	}
	if n.listeners.operators, err = net.Listen("tcp", n.cfg.ListenOperators); err != nil {
		return eris.Wrap(err, "setting listen.operators")
	}
	return nil
}

// add declares a duty that runs from start to stop.
func (n *Node) add(name string, run func(context.Context) error) {
	n.duties = append(n.duties, duty{name: name, run: run})
}

// Run runs the node until ctx ends, then stops it gracefully: it leaves the
// entry answers, goes on for the time that callers may keep them, finishes
// its requests, and only then ends its duties.
func (n *Node) Run(ctx context.Context) error {
	g := tdtask.New(context.WithoutCancel(ctx))
	for _, d := range n.duties {
		g.Go(d.name, d.run)
	}
	front := n.serveHTTP(g, "serve callers", n.listeners.callers, n.entry.callers)
	operators := n.serveHTTP(g, "serve operators", n.listeners.operators, n.operator.handler)
	n.nodeLog.Info().Str("callers", n.listeners.callers.Addr().String()).Msg("started")
	err := n.wait(ctx, g)
	n.drain(front)
	_ = operators.Close()
	go g.Close()
	for end := range g.Ends() {
		n.ended(end)
	}
	_ = n.metrics.Close()
	n.nodeLog.Info().Msg("stopped")
	return err
}

// wait returns when the node is asked to stop, or with an error when a duty
// that should run on has ended.
func (n *Node) wait(ctx context.Context, g *tdtask.Group) error {
	select {
	case <-ctx.Done():
		return nil
	case end := <-g.Ends():
		n.ended(end)
		return eris.Errorf("duty %q ended early", end.Name)
	}
}

func (n *Node) ended(end tdtask.End) {
	if end.Err != nil {
		n.nodeLog.Error().Err(end.Err).Str("duty", end.Name).Msg("duty failed")
	}
}

func (n *Node) serveHTTP(g *tdtask.Group, name string, ln net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
	g.Go(name, func(context.Context) error {
		if err := srv.Serve(ln); err != nil && err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return srv
}

func (n *Node) drain(front *http.Server) {
	n.nodeLog.Info().Msg("leaving")
	n.fleet.leave()
	n.entry.leave()
	time.Sleep(n.cfg.DrainWait)
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainMax)
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		n.nodeLog.Error().Err(err).Msg("requests still ran at the bound")
	} else {
		n.entry.settle()
	}
	if err := n.operator.handOver(context.Background()); err != nil {
		n.nodeLog.Warn().Err(err).Msg("measures not handed over")
	}
}
