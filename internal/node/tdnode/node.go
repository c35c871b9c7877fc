// Package tdnode assembles the components of a node and runs them until the node
// is asked to stop.
//
// # Usage
//
//	n, err := tdnode.New(settings, os.Stderr)
//	err = n.Run(ctx)
//
// The components of each area are built in their own file: fleet.go, dispatch.go,
// account.go, burn.go, capacity.go, entry.go and operator.go.
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

// platformMaxIdleConns is the number of idle connections kept to the platform.
const platformMaxIdleConns = 16

// Node is a node process of the router.
type Node struct {
	cfg     tdsettings.Settings
	log     zerolog.Logger // The base of the components' loggers.
	nodeLog zerolog.Logger
	clock   tarragondeal.Clock
	metrics *tdmetric.Metrics
	tasks   []task // In start order.

	kv      tarragondeal.Store // Unlimited and without retries; components use fleet.store.
	site    *tdsite.Site
	backend tarragondeal.Backend

	fleet    fleet
	dispatch dispatch
	account  account
	entry    entry
	operator operator

	listeners listeners
}

type task struct {
	name string
	run  func(context.Context) error
}

type listeners struct {
	callers, peers, operators net.Listener
}

// New returns a node whose listeners are open. The error names the setting that
// is invalid or the address that can't be used.
func New(s tdsettings.Settings, logTo io.Writer) (*Node, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "setting log.level")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformMaxIdleConns}}
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

// builders returns the functions that build the components, in the order of
// their dependencies.
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

// addTask adds a background task that runs until the node stops.
func (n *Node) addTask(name string, run func(context.Context) error) {
	n.tasks = append(n.tasks, task{name: name, run: run})
}

// Run runs the node until ctx ends, then stops it gracefully: its address is no
// longer given to callers, it keeps serving for as long as callers may cache
// the address, finishes its requests, and only then ends its tasks.
func (n *Node) Run(ctx context.Context) error {
	g := tdtask.New(context.WithoutCancel(ctx))
	for _, t := range n.tasks {
		g.Go(t.name, t.run)
	}
	front := n.serveHTTP(g, "serve callers", n.listeners.callers, n.entry.callers)
	operators := n.serveHTTP(g, "serve operators", n.listeners.operators, n.operator.handler)
	n.nodeLog.Info().Str("callers", n.listeners.callers.Addr().String()).Msg("started")
	err := n.wait(ctx, g)
	n.drain(front)
	_ = operators.Close()
	go g.Close()
	for end := range g.Ends() {
		n.logEnd(end)
	}
	_ = n.metrics.Close()
	n.nodeLog.Info().Msg("stopped")
	return err
}

// wait returns nil when ctx ends, or an error when a task ends before that.
func (n *Node) wait(ctx context.Context, g *tdtask.Group) error {
	select {
	case <-ctx.Done():
		return nil
	case end := <-g.Ends():
		n.logEnd(end)
		return eris.Errorf("task %q ended unexpectedly", end.Name)
	}
}

func (n *Node) logEnd(end tdtask.End) {
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
		n.nodeLog.Error().Err(err).Msg("requests still running after drain.max")
	} else {
		n.entry.waitMetered()
	}
	if err := n.operator.handOver(context.Background()); err != nil {
		n.nodeLog.Warn().Err(err).Msg("can't hand over measurements")
	}
}
