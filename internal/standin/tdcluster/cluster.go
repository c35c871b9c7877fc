package tdcluster

import (
	"fmt"
	"sync"
	"time"

	"tarragondeal/internal/platform/tdwire"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdplatform"
	"tarragondeal/internal/standin/tdservice"
)

// Group describes identical backend servers of one pool in one data centre.
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
	// RestartAfter is how long a crashed server stays down. Zero means that it
	// is not restarted.
	RestartAfter time.Duration
	// StartUp is the time from an order for a server to its start.
	StartUp time.Duration
	// ApplyOrders makes the cluster apply the server orders that the platform
	// accepts.
	ApplyOrders bool
}

// Cluster is a running deployment without its router nodes.
type Cluster struct {
	PlatformURL string
	Platform    *tdplatform.Platform
	// Servers are the servers that Start started, in the order of the spec.
	Servers []*Server

	spec      Spec
	platform  *listener
	mu        sync.Mutex
	all       []*Server // Includes servers started by orders.
	entryVMs  []tdwire.VM
	lastIndex map[string]int
	closed    bool
}

// Start starts a deployment. The caller must close it.
func Start(spec Spec) (*Cluster, error) {
	c := &Cluster{spec: spec, lastIndex: make(map[string]int)}
	o := spec.Platform
	if spec.ApplyOrders {
		o.OnOrder = c.applyOrder
	}
	c.Platform = tdplatform.New(o)
	var err error
	if c.platform, err = listen(c.Platform.Handler()); err != nil {
		return nil, err
	}
	c.PlatformURL = "http://" + c.platform.addr.String()
	for _, g := range spec.Groups {
		for range g.Count {
			s, err := c.startServer(g)
			if err != nil {
				c.Close()
				return nil, err
			}
			c.Servers = append(c.Servers, s)
		}
	}
	c.publishVMs()
	return c, nil
}

func (c *Cluster) startServer(g Group) (*Server, error) {
	c.mu.Lock()
	prefix := g.Pool + "-" + g.DataCentre
	c.lastIndex[prefix]++
	name := fmt.Sprintf("%s-%d", prefix, c.lastIndex[prefix])
	c.mu.Unlock()
	s := newServer(name, g, c.spec.RestartAfter)
	if err := s.start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	return s, nil
}

// VMs returns the current list of entry VMs and servers.
func (c *Cluster) VMs() []tdwire.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]tdwire.VM(nil), c.entryVMs...)
	for _, s := range c.all {
		if vm, ok := s.listEntry(); ok {
			out = append(out, vm)
		}
	}
	return out
}

// publishVMs sends the current list to the platform, which serves it with a
// lag.
func (c *Cluster) publishVMs() { c.Platform.SetVMs(c.VMs()) }

// SetEntryVMs replaces the entry VMs in the platform's list.
func (c *Cluster) SetEntryVMs(vms []tdwire.VM) {
	c.mu.Lock()
	c.entryVMs = append([]tdwire.VM(nil), vms...)
	c.mu.Unlock()
	c.publishVMs()
}

// All returns every server that was ever started.
func (c *Cluster) All() []*Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Server(nil), c.all...)
}

// Reclaim simulates the reclaiming of the servers of a pool in a data centre:
// they report that they are leaving, and are removed after the notice.
func (c *Cluster) Reclaim(pool, dataCentre string, notice time.Duration) {
	var leaving []*Server
	for _, s := range c.All() {
		if s.group.Pool == pool && s.group.DataCentre == dataCentre {
			s.Leave()
			leaving = append(leaving, s)
		}
	}
	c.publishVMs()
	time.AfterFunc(notice, func() {
		for _, s := range leaving {
			s.Remove()
		}
		c.publishVMs()
	})
}

// applyOrder starts servers, or makes some leave, so that as many are active as
// the order requests.
func (c *Cluster) applyOrder(o tdwire.ServerOrder) {
	var up []*Server
	for _, s := range c.All() {
		if s.group.Pool == o.Pool && s.group.DataCentre == o.DataCentre && s.active() {
			up = append(up, s)
		}
	}
	for n := len(up) - 1; n >= max(o.Want, 0); n-- {
		up[n].Leave()
	}
	for n := len(up); n < o.Want; n++ {
		time.AfterFunc(c.spec.StartUp, func() { c.startOrdered(o.Pool, o.DataCentre) })
	}
	c.publishVMs()
}

func (c *Cluster) startOrdered(pool, dataCentre string) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	for _, g := range c.spec.Groups {
		if g.Pool == pool && g.DataCentre == dataCentre {
			if _, err := c.startServer(g); err == nil {
				c.publishVMs()
			}
			return
		}
	}
}

// Close stops the platform and all servers.
func (c *Cluster) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.platform.close()
	for _, s := range c.All() {
		s.Remove()
	}
}
