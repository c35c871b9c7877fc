package tdvm

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/account/tdbegun"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tddial"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/base/tdmetric"
	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/dispatch/tdfit"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdhost"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/fleet/tdlisting"
	"tarragondeal/internal/fleet/tdmesh"
	"tarragondeal/internal/fleet/tdmirror"
	"tarragondeal/internal/platform/tdbackend"
	"tarragondeal/platform"
)

const (
	// attempts bounds the servers that one request is sent to where its route
	// does not say.
	attempts = 2
	// storeIdle is how many unused connections to the store are kept.
	storeIdle = 2
	// serverIdle is how long an unused connection to a server is kept; the
	// servers' own bound is longer.
	serverIdle = 4 * time.Second
	// nodeTTL is how long this node's entry in the store outlives it.
	nodeTTL = 6 * time.Second
	// addressTTL is how long callers may keep an answer of addresses. Some
	// keep it three times as long.
	addressTTL = time.Second
	// headerTime bounds the time that a request's header may take, and
	// callerIdle the time that a caller's connection may be unused. Both are
	// above what configurations state.
	headerTime = 10 * time.Second
	callerIdle = 90 * time.Second
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
)

// Node is one entry VM's process.
type Node struct {
	vm      *tarragondeal.VM
	log     zerolog.Logger
	clock   tarragondeal.Clock
	metrics *tdmetric.Metrics
	duties  []duty
	// incarnation names this run of the program.
	incarnation uint64

	store   *platform.Store
	mirror  *tdmirror.Mirror
	mesh    *tdmesh.Mesh
	config  *tdlisting.Config
	servers *tdlisting.Servers
	fit     *tdfit.Fit
	begun   *tdbegun.Counter
	host    *tdhost.Host
	held    bool // The duties were held before; the duty's own.

	listeners struct{ callers, ready, addresses, peers, metrics net.Listener }
}

type duty struct {
	name string
	run  func(context.Context) error
}

// New returns a node that listens and does nothing yet.
func New(vm *tarragondeal.VM, out io.Writer) (*Node, error) {
	n := &Node{
		vm: vm, clock: tdclock.New(), metrics: tdmetric.New(string(vm.Node)),
		log: tdlog.New(out, string(vm.Node), zerolog.InfoLevel),
	}
	n.incarnation = uint64(n.clock.Wall().UnixNano())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.buildFleet()
	n.buildEntry()
	n.buildDuties()
	n.follow()
	return n, nil
}

func (n *Node) listen() error {
	l := &n.listeners
	for _, a := range []struct {
		name string
		at   netip.AddrPort
		ln   *net.Listener
	}{
		{"callers", n.vm.Callers, &l.callers},
		{"readiness", n.vm.Ready, &l.ready},
		{"addresses", n.vm.Addresses, &l.addresses},
		{"peers", n.vm.Peer, &l.peers},
		{"metrics", n.vm.Metrics, &l.metrics},
	} {
		ln, err := net.Listen("tcp", a.at.String())
		if err != nil {
			return eris.Wrapf(err, "listen for %s", a.name)
		}
		*a.ln = ln
	}
	return nil
}

// client returns an HTTP client of the platform's interfaces.
func (n *Node) client(idle int) *http.Client { return tddial.Client(tddial.New(), idle) }

// add declares a duty that runs from start to stop.
func (n *Node) add(name string, run func(context.Context) error) {
	n.duties = append(n.duties, duty{name: name, run: run})
}

func (n *Node) buildFleet() {
	n.store = platform.NewStore(n.vm.Store, n.client(storeIdle), n.clock)
	n.mirror = tdmirror.New(n.store, n.clock, tdmirror.Options{
		Prefixes: []string{platform.ConfigKey, platform.ServersPrefix, tdlease.Keys},
		Follows:  func() bool { return n.mesh.Follows() },
		Log:      tdlog.Part(n.log, "mirror"), Scope: n.metrics.Scope.SubScope("mirror"),
	})
	n.mesh = tdmesh.New(tdmesh.Deps{
		Store: n.store, Mirror: n.mirror, Clock: n.clock, Dialer: tddial.New(), TTL: nodeTTL,
		Ready: func() bool { return n.host.Ready() },
		Log:   tdlog.Part(n.log, "mesh"), Scope: n.metrics.Scope.SubScope("mesh"),
	}, tdmesh.Node{
		Name: n.vm.Node, Incarnation: n.incarnation, DataCentre: n.vm.DataCentre, Peer: n.vm.Peer, Callers: n.vm.Callers,
		Processor: n.vm.Processor,
	})
	n.begun = tdbegun.NewCounter(tdbegun.Process{Node: n.vm.Node, Incarnation: n.incarnation}, n.vm.Bounds.Window, n.mesh.Wall,
		func(p tdbegun.Process) bool { return n.mesh.Heard(p.Node, p.Incarnation) })
	n.mesh.Publish(tdbegun.Topic, func() tdmesh.Writer { return n.begun.Writer() })
	n.mesh.Receive(tdbegun.Topic, func(from tarragondeal.NodeID, payload []byte) {
		if !n.begun.Hear(from, payload) {
			n.log.Warn().Str("peer", string(from)).Msg("counts can't be read")
		}
	}, nil)
	n.add("copy the store", n.mirror.Run)
	n.add("keep the mesh", func(ctx context.Context) error { return n.mesh.Run(ctx, n.listeners.peers) })
}

func (n *Node) buildEntry() {
	n.fit = tdfit.New(tdfit.Deps{
		Clock: n.clock, Size: n.mesh.Size, Log: tdlog.Part(n.log, "dispatch"), Scope: n.metrics.Scope.SubScope("dispatch"),
	}, tdfit.Options{DataCentre: n.vm.DataCentre, Bounds: n.vm.Bounds})
	n.mesh.Publish(tdfit.Topic, func() tdmesh.Writer { return n.fit.Writer() })
	n.mesh.Receive(tdfit.Topic, n.fit.Hear, n.fit.Lost)
	scope := n.metrics.Scope.SubScope("entry")
	log := tdlog.Part(n.log, "entry")
	measures := &measures{scope: scope}
	flow := tdflow.New(tdflow.Deps{
		Dispatch: n.fit, Meter: measures, Burn: measures, Clock: n.clock, Metrics: scope, Log: log,
	}, tdflow.Options{Attempts: attempts})
	n.host = tdhost.New(tdhost.Deps{
		Flow: flow, Backend: tdbackend.NewWith(tdbackend.Options{Dialer: tddial.New(), Idle: serverIdle, Bare: true}),
		Starts: n.begun, Clock: n.clock, Log: log, Scope: scope,
	})
}

// follow connects the parts with the copied store.
func (n *Node) follow() {
	n.config = tdlisting.NewConfig(platform.ConfigKey, tdlog.Part(n.log, "config"), n.applyConfig)
	n.servers = tdlisting.NewServers(platform.ServersPrefix, platform.DecodeServer, n.clock, tdlog.Part(n.log, "servers"), n.fit.SetServers)
	n.mirror.Subscribe(n.config.Follow)
	n.mirror.Subscribe(n.servers.Follow)
	n.add("follow servers", n.servers.Run)
}

// applyConfig puts a configuration in force, unless a later one is.
func (n *Node) applyConfig(value []byte, inForce tarragondeal.Version) (tarragondeal.Version, error) {
	view, limits, err := platform.DecodeConfig(value, n.vm.Regions)
	if err != nil {
		return 0, err
	}
	if view.Version <= inForce {
		return 0, eris.Errorf("version %d is older than the one in force", view.Version)
	}
	n.fit.SetView(view)
	n.host.SetView(view, limits)
	return view.Version, nil
}

// Run runs the node until ctx ends, then stops it in order.
func (n *Node) Run(ctx context.Context) error {
	g := tdtask.New(context.WithoutCancel(ctx))
	for _, d := range n.duties {
		g.Go(d.name, d.run)
	}
	n.serve(g, "serve callers", n.listeners.callers, n.host)
	n.serve(g, "answer readiness", n.listeners.ready, http.HandlerFunc(n.host.ServeReady))
	n.serve(g, "answer addresses", n.listeners.addresses, &tdhost.Addresses{Nodes: n.mesh.ReadyNodes, TTL: addressTTL})
	n.serve(g, "answer metrics", n.listeners.metrics, n.metrics.Handler())
	n.log.Info().Str("dataCentre", n.vm.DataCentre).Str("callers", n.vm.Callers.String()).Msg("started")
	err := n.wait(ctx, g)
	n.drain()
	go g.Close()
	for end := range g.Ends() {
		n.ended(end)
	}
	n.log.Info().Msg("stopped")
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
		n.log.Error().Err(end.Err).Str("duty", end.Name).Msg("duty failed")
	}
}

func (n *Node) serve(g *tdtask.Group, name string, ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle, MaxHeaderBytes: headerBytes}
	g.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		if err := srv.Serve(ln); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
}
