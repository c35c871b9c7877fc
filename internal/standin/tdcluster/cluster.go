// Package tdcluster starts the stand-ins of a whole deployment on loopback:
// the platform and the backend servers of each pool in each data centre.
//
// # Usage
//
//	c, err := tdcluster.Start(tdcluster.Spec{Servers: ...})
//	defer c.Close()
//	// Point nodes at c.PlatformURL.
package tdcluster

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal/internal/platform/tdwire"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdplatform"
	"tarragondeal/internal/standin/tdservice"
)

// Group is a number of like backend servers in one data centre.
type Group struct {
	Pool       string
	DataCentre string
	Count      int
	Engine     *tdengine.Options  // Set for model engines.
	Service    *tdservice.Options // Set for plain services.
}

// Spec describes a deployment.
type Spec struct {
	Platform tdplatform.Options
	Groups   []Group
}

// Server is one backend server that was started.
type Server struct {
	VM      tdwire.VM
	Engine  *tdengine.Engine
	Service *tdservice.Service
	http    *http.Server
}

// Cluster is a running deployment without its nodes.
type Cluster struct {
	PlatformURL string
	Platform    *tdplatform.Platform
	Servers     []*Server
	platform    *http.Server
}

// Start starts a deployment. The caller closes it.
func Start(spec Spec) (*Cluster, error) {
	c := &Cluster{Platform: tdplatform.New(spec.Platform)}
	srv, addr, err := serve(c.Platform.Handler())
	if err != nil {
		return nil, err
	}
	c.platform, c.PlatformURL = srv, "http://"+addr.String()
	for _, g := range spec.Groups {
		for n := range g.Count {
			if err := c.add(g, n+1); err != nil {
				c.Close()
				return nil, err
			}
		}
	}
	c.Platform.SetVMs(c.VMs())
	return c, nil
}

func (c *Cluster) add(g Group, n int) error {
	name := fmt.Sprintf("%s-%s-%d", g.Pool, g.DataCentre, n)
	s := &Server{}
	var h http.Handler
	if g.Engine != nil {
		o := *g.Engine
		o.Name = name
		s.Engine = tdengine.New(o)
		h = s.Engine.Handler()
	} else {
		o := *g.Service
		o.Name = name
		s.Service = tdservice.New(o)
		h = s.Service.Handler()
	}
	srv, addr, err := serve(h)
	if err != nil {
		return err
	}
	s.http = srv
	s.VM = tdwire.VM{Name: name, Kind: tdwire.KindServer, Pool: g.Pool, DataCentre: g.DataCentre, Addr: addr, State: "live"}
	c.Servers = append(c.Servers, s)
	return nil
}

// VMs returns the list of all servers that were started.
func (c *Cluster) VMs() []tdwire.VM {
	out := make([]tdwire.VM, 0, len(c.Servers))
	for _, s := range c.Servers {
		out = append(out, s.VM)
	}
	return out
}

// Close ends the stand-ins.
func (c *Cluster) Close() {
	_ = c.platform.Close()
	for _, s := range c.Servers {
		_ = s.http.Close()
	}
}

// Kill ends one backend server at once, as a crash would.
func (s *Server) Kill() { _ = s.http.Close() }

func serve(h http.Handler) (*http.Server, netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, eris.Wrap(err, "listen")
	}
	addr, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		return nil, netip.AddrPort{}, eris.Wrap(err, "address")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	return srv, addr, nil
}
