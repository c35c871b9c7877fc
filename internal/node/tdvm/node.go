package tdvm

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
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
	"tarragondeal/internal/dispatch/tdpoison"
	"tarragondeal/internal/dispatch/tdshare"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdhost"
	"tarragondeal/internal/entry/tdorigin"
	"tarragondeal/internal/fleet/tdera"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/fleet/tdlisting"
	"tarragondeal/internal/fleet/tdmesh"
	"tarragondeal/internal/fleet/tdmirror"
	"tarragondeal/internal/fleet/tdtunnel"
	"tarragondeal/internal/platform/tdbackend"
	"tarragondeal/platform"
)

const (
	// defaultMaxAttempts is the maximum number of servers that one request is
	// sent to, unless its route sets one.
	defaultMaxAttempts = 2
	// storeMaxIdleConns is the number of idle connections kept to the store.
	storeMaxIdleConns = 2
	// serverIdleTimeout is how long an idle connection to a server is kept. The
	// servers' own timeout is longer.
	serverIdleTimeout = 4 * time.Second
	// nodeTTL is how long this node's entry stays in the store after the node has
	// stopped renewing it.
	nodeTTL = 6 * time.Second
	// addressTTL is how long callers may cache the addresses of the nodes. Some
	// cache them three times as long.
	addressTTL = time.Second
	// readHeaderTimeout limits reading a request's header, and callerIdleTimeout
	// the idle time of a caller's connection. Both are above the values that
	// configurations set.
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = 90 * time.Second
	// responseTimeout limits writing a response whose handler sets no limit, such as the
	// server's own answer to a malformed request.
	responseTimeout = 10 * time.Second
	// maxListAge is the age up to which the list of servers is up to date. It is
	// above the time between two answers of the store, over relays too.
	maxListAge = 2 * time.Second
	// keptSoftwareKey is the key of the record of the software that was listed. Nodes of
	// all builds copy the keys with its prefix.
	keptSoftwareKey = tdlease.KeyPrefix + tdorigin.KeptName
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
)

// Node is the node process of an entry VM.
type Node struct {
	vm      *tarragondeal.VM
	log     zerolog.Logger
	clock   tarragondeal.Clock
	metrics *tdmetric.Metrics
	tasks   []task
	// incarnation identifies this run of the process.
	incarnation uint64

	store      *platform.Store
	eras       *tdera.Tracker
	mirror     *tdmirror.Mirror
	fences     *tdlease.Fences
	mesh       *tdmesh.Mesh
	config     *tdlisting.Config
	servers    *tdlisting.Servers
	fit        *tdfit.Fit
	begun      *tdbegun.Counter
	origins    *tdorigin.Origins
	tunnels    *tdtunnel.Tunnels
	host       *tdhost.Host
	heldBefore bool // Whether this process has held dutyLease before; used only by runDuties.

	listeners struct{ callers, ready, addresses, peers, metrics net.Listener }
}

type task struct {
	name string
	run  func(context.Context) error
}

// New returns a node whose listeners are open. It serves only once Run is
// called.
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
	n.buildTunnels()
	n.buildEntry()
	n.buildDuties()
	n.subscribe()
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

// httpClient returns an HTTP client for the platform's APIs.
func (n *Node) httpClient(idle int) *http.Client { return tddial.Client(tddial.New(), idle) }

// addTask adds a background task that runs until the node stops.
func (n *Node) addTask(name string, run func(context.Context) error) {
	n.tasks = append(n.tasks, task{name: name, run: run})
}

func (n *Node) buildFleet() {
	client := n.httpClient(storeMaxIdleConns)
	n.eras = tdera.New(n.clock, tdlog.Part(n.log, "era"), n.metrics.Scope.SubScope("era"))
	n.store = platform.NewStore(n.vm.Store, client, n.clock, n.eras)
	unchecked := platform.NewStore(n.vm.Store, client, n.clock, nil)
	n.mirror = tdmirror.New(unchecked, n.clock, tdmirror.Options{
		Prefixes:  []string{platform.OperatorPrefix, platform.ServersPrefix, tdlease.KeyPrefix},
		Confirmed: platform.ServersPrefix,
		Follows:   func() bool { return n.mesh.Follows() }, RelistDelay: func() time.Duration { return n.mesh.RelistDelay() },
		Eras: n.eras, Recorder: unchecked, Self: n.vm.Node,
		Log: tdlog.Part(n.log, "mirror"), Scope: n.metrics.Scope.SubScope("mirror"),
	})
	self := tarragondeal.Member{Node: n.vm.Node, Incarnation: n.incarnation}
	n.fences = tdlease.NewFences(tdlease.Holder(self), n.eras, func() time.Time { return n.mesh.Wall() },
		func() bool { return n.mesh.RemembersSince().IsZero() })
	n.mesh = tdmesh.New(tdmesh.Deps{
		Store: n.store, Mirror: n.mirror, Eras: n.eras, Fences: n.fences, FirstStart: n.vm.FirstStart, Clock: n.clock, Dialer: tddial.New(), TTL: nodeTTL,
		Ready: func() bool { return n.host.Ready() },
		Log:   tdlog.Part(n.log, "mesh"), Scope: n.metrics.Scope.SubScope("mesh"),
	}, tdmesh.Node{
		Name: n.vm.Node, Incarnation: n.incarnation, DataCentre: n.vm.DataCentre, Peer: n.vm.Peer, Callers: n.vm.Callers,
		Processor: n.vm.Processor,
	})
	n.begun = tdbegun.NewCounter(tdbegun.Process{Node: n.vm.Node, Incarnation: n.incarnation}, n.vm.Bounds.Window, n.mesh.Wall,
		func(p tdbegun.Process) bool { return n.mesh.Alive(p.Node, p.Incarnation) })
	n.mesh.Publish(tdbegun.Topic, func() tdmesh.Writer { return n.begun.Writer() })
	n.mesh.Receive(tdbegun.Topic, func(from tarragondeal.NodeID, payload []byte) {
		if !n.begun.Receive(from, payload) {
			n.log.Warn().Str("peer", string(from)).Msg("can't decode counts from peer")
		}
	}, nil)
	n.addTask("copy the store", n.mirror.Run)
	n.addTask("keep the mesh", func(ctx context.Context) error { return n.mesh.Run(ctx, n.listeners.peers) })
}

// buildTunnels connects this node to servers through other nodes, and those through this
// one.
func (n *Node) buildTunnels() {
	n.tunnels = tdtunnel.New(tdtunnel.Deps{
		Clock: n.clock, Direct: tddial.NewResetting(), Dialer: tddial.New(), Peers: n.tunnelPeers,
		Log: tdlog.Part(n.log, "tunnel"), Scope: n.metrics.Scope.SubScope("tunnel"),
	})
	n.mesh.Register(n.tunnels.Register)
}

// tunnelPeers returns the other nodes that are alive. Where requests have homes, they are
// those of this node's region.
func (n *Node) tunnelPeers() []tdtunnel.Peer {
	var out []tdtunnel.Peer
	homes := n.host.HasHomes()
	for _, m := range n.mesh.Members() {
		if homes && n.vm.Regions[m.DataCentre] != n.vm.Region {
			continue
		}
		if m.Node != n.vm.Node && m.State == tarragondeal.MemberAlive {
			out = append(out, tdtunnel.Peer{Node: m.Node, DataCentre: m.DataCentre, Addr: m.Peer})
		}
	}
	return out
}

// buildPoison returns the table of what crashes servers, which the nodes exchange and
// keep in the store.
func (n *Node) buildPoison() *tdpoison.Table {
	poison := tdpoison.New(tdpoison.Deps{
		Clock: n.clock, Log: tdlog.Part(n.log, "poison"),
		Fleet: func() tdshare.Fleet {
			return tdshare.Fleet{Self: n.vm.Node, Nodes: n.mesh.Nodes(), Now: n.mesh.Wall()}
		},
	})
	n.mesh.Publish(tdpoison.Topic, func() tdmesh.Writer { return poison.Writer() })
	n.mesh.Receive(tdpoison.Topic, poison.Receive, nil)
	n.mirror.Subscribe(func(c tdmirror.Changes) {
		for _, e := range c.Entries {
			if name, ok := strings.CutPrefix(e.Key, tdlease.KeyPrefix); ok && !e.Deleted {
				poison.Load(name, e.Value)
			}
		}
	})
	n.addTask("keep refused traits", func(ctx context.Context) error { return poison.Keep(ctx, n.store) })
	return poison
}

func (n *Node) buildEntry() {
	poison := n.buildPoison()
	backend := tdbackend.NewWith(tdbackend.Options{Dial: n.tunnels.DialContext, Idle: serverIdleTimeout, Clock: n.clock, Verbatim: true})
	n.fit = tdfit.New(tdfit.Deps{
		IdleConn: backend.IdleConn, Clock: n.clock, Size: n.mesh.Size, Self: n.vm.Node, Nodes: n.mesh.Nodes, Wall: n.mesh.Wall, Poison: poison,
		Log: tdlog.Part(n.log, "dispatch"), Scope: n.metrics.Scope.SubScope("dispatch"),
	}, tdfit.Options{DataCentre: n.vm.DataCentre, Bounds: n.vm.Bounds, Scarce: n.vm.Scarce})
	n.mesh.Publish(tdfit.Topic, func() tdmesh.Writer { return n.fit.Writer() })
	n.mesh.Receive(tdfit.Topic, n.fit.Receive, n.fit.Lost)
	n.origins = tdorigin.New(tdorigin.Deps{
		Clock: n.clock, Current: n.listIsCurrent, Confirm: n.mirror.Confirm, Self: n.vm.Node, Nodes: n.mesh.Nodes, Wall: n.mesh.Wall,
		Era: func() tarragondeal.Era { return n.eras.Known().Era },
		Log: tdlog.Part(n.log, "origin"), Scope: n.metrics.Scope.SubScope("origin"),
	}, tdorigin.Options{FirstStart: n.vm.FirstStart})
	n.mirror.Subscribe(func(c tdmirror.Changes) {
		for _, e := range c.Entries {
			if e.Key == keptSoftwareKey {
				n.origins.Load(e)
			}
		}
	})
	n.addTask("keep listed software", func(ctx context.Context) error { return n.origins.Keep(ctx, n.store, keptSoftwareKey) })
	n.mesh.Publish(tdorigin.Topic, func() tdmesh.Writer { return n.origins.Writer() })
	n.mesh.Receive(tdorigin.Topic, n.origins.Receive, nil)
	scope := n.metrics.Scope.SubScope("entry")
	log := tdlog.Part(n.log, "entry")
	metrics := &requestMetrics{scope: scope}
	flow := tdflow.New(tdflow.Deps{
		Dispatch: n.fit, Meter: metrics, Burn: metrics, Clock: n.clock, Metrics: scope, Log: log,
	}, tdflow.Options{Attempts: defaultMaxAttempts})
	n.addTask("tunnel to servers", func(ctx context.Context) error { return n.tunnels.Run(ctx, backend.CloseIdle) })
	n.host = tdhost.New(tdhost.Deps{
		Flow: flow, Backend: backend,
		Starts: n.begun, Notices: n.fit, Origins: n.origins, Clock: n.clock, Log: log, Scope: scope,
		MemoryBytes: n.vm.MemoryBytes,
	})
}

// subscribe connects the configuration and the server list to the mirror of the
// store.
func (n *Node) subscribe() {
	n.config = tdlisting.NewConfig(platform.ConfigKey, n.clock, tdlog.Part(n.log, "config"), n.applyConfig)
	n.servers = tdlisting.NewServers(platform.ServersPrefix, platform.DecodeServer, n.clock, tdlog.Part(n.log, "servers"), n.setServers)
	evacuations := tdlisting.NewEvacuations(tdlisting.Names{Decode: platform.DecodeEvacuation, IsKnown: n.hasDataCentre},
		n.clock, tdlog.Part(n.log, "servers"), n.fit.SetEvacuated)
	n.eras.Subscribe(n.config.StartEra)
	n.mesh.Publish(tdlisting.Topic, func() tdmesh.Writer { return n.config.Writer() })
	n.mesh.Receive(tdlisting.Topic, n.config.Receive, nil)
	n.eras.Subscribe(n.servers.StartEra)
	n.eras.Subscribe(evacuations.StartEra)
	n.mirror.Subscribe(evacuations.Follow)
	n.mirror.Subscribe(n.config.Follow)
	n.mirror.Subscribe(n.servers.Follow)
	n.addTask("apply configurations", n.config.Run)
	n.addTask("follow servers", n.servers.Run)
	n.addTask("follow evacuations", evacuations.Run)
}

// hasDataCentre reports whether the settings have a data centre.
func (n *Node) hasDataCentre(name string) bool {
	_, ok := n.vm.Regions[name]
	return ok
}

// setServers passes the list of servers on.
func (n *Node) setServers(list []tarragondeal.Server) {
	n.origins.SetServers(list)
	n.tunnels.SetServers(list)
	n.fit.SetServers(list)
}

// listIsCurrent reports whether the store has confirmed this node's copy, and with it
// the list of servers, a short time ago.
func (n *Node) listIsCurrent() bool {
	age, ok := n.mesh.CopyAge()
	return ok && age <= maxListAge
}

// applyConfig implements tdlisting.Apply.
func (n *Node) applyConfig(value []byte, inForce tarragondeal.Version) (tarragondeal.Version, error) {
	view, limits, err := platform.DecodeConfig(value, n.vm.Regions)
	if err != nil {
		return 0, err
	}
	if view.Version <= inForce {
		return 0, &tarragondeal.VersionError{Version: view.Version, InForce: inForce}
	}
	n.fit.SetView(view)
	n.host.SetView(view, limits)
	return view.Version, nil
}

// Run runs the node until ctx ends, then drains and stops it.
func (n *Node) Run(ctx context.Context) error {
	g := tdtask.New(context.WithoutCancel(ctx))
	for _, t := range n.tasks {
		g.Go(t.name, t.run)
	}
	callers := n.serve(g, "serve callers", n.listeners.callers, n.host)
	n.serve(g, "answer readiness", n.listeners.ready, http.HandlerFunc(n.host.ServeReady))
	n.serve(g, "answer addresses", n.listeners.addresses, &tdhost.Addresses{
		Nodes: n.mesh.ReadyNodes, TTL: addressTTL, Regions: n.vm.Regions, MayName: n.host.MayName,
	})
	operators := http.NewServeMux()
	operators.Handle("/", n.metrics.Handler())
	operators.Handle("GET "+tdhost.ExplainPath, n.host.Explain(n.fit))
	n.serve(g, "answer metrics", n.listeners.metrics, operators)
	n.log.Info().Str("dataCentre", n.vm.DataCentre).Str("callers", n.vm.Callers.String()).Bool("firstStart", n.vm.FirstStart).Msg("started")
	err := n.wait(ctx, g)
	n.drain(g, callers)
	go g.Close()
	for end := range g.Ends() {
		n.logEnd(end)
	}
	n.log.Info().Msg("stopped")
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
		n.log.Error().Err(end.Err).Str("duty", end.Name).Msg("duty failed")
	}
}

// serve starts a task that serves h at ln until g is closed, also if the server that
// it returns is shut down before that.
func (n *Node) serve(g *tdtask.Group, name string, ln net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, WriteTimeout: responseTimeout, MaxHeaderBytes: maxHeaderBytes}
	g.Go(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		if err := srv.Serve(ln); err != http.ErrServerClosed {
			return err
		}
		<-ctx.Done() // Requests in flight end before their server is closed.
		return nil
	})
	return srv
}
