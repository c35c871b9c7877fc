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
	// RestartAfter is how long a crashed server stays down.
	RestartAfter time.Duration
	// StartUp is how long a server that was ordered takes to come up.
	StartUp time.Duration
	// CarryOut makes the platform carry out orders of servers.
	CarryOut bool
}

// Cluster is a running deployment without its nodes.
type Cluster struct {
	PlatformURL string
	Platform    *tdplatform.Platform
	// Servers are those that Start started, in the order of the spec.
	Servers []*Server

	spec     Spec
	platform *listener
	mu       sync.Mutex
	all      []*Server // Those that were ordered later, too.
	entry    []tdwire.VM
	next     map[string]int
	closed   bool
}

// Start starts a deployment. The caller closes it.
func Start(spec Spec) (*Cluster, error) {
	c := &Cluster{spec: spec, next: make(map[string]int)}
	o := spec.Platform
	if spec.CarryOut {
		o.OnOrder = c.carryOut
	}
	c.Platform = tdplatform.New(o)
	var err error
	if c.platform, err = listen(c.Platform.Handler()); err != nil {
		return nil, err
	}
	c.PlatformURL = "http://" + c.platform.addr.String()
	for _, g := range spec.Groups {
		for range g.Count {
			s, err := c.add(g)
			if err != nil {
				c.Close()
				return nil, err
			}
			c.Servers = append(c.Servers, s)
		}
	}
	c.publish()
	return c, nil
}

func (c *Cluster) add(g Group) (*Server, error) {
	c.mu.Lock()
	place := g.Pool + "-" + g.DataCentre
	c.next[place]++
	name := fmt.Sprintf("%s-%d", place, c.next[place])
	c.mu.Unlock()
	s := newServer(name, g, c.spec.RestartAfter)
	if err := s.up(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	return s, nil
}

// VMs returns the list as it is now: all servers, and the entry VMs.
func (c *Cluster) VMs() []tdwire.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]tdwire.VM(nil), c.entry...)
	for _, s := range c.all {
		if vm, ok := s.listed(); ok {
			out = append(out, vm)
		}
	}
	return out
}

// publish hands the list to the platform, whose readers see it with a lag.
func (c *Cluster) publish() { c.Platform.SetVMs(c.VMs()) }

// SetEntryVMs puts entry VMs on the platform's list.
func (c *Cluster) SetEntryVMs(vms []tdwire.VM) {
	c.mu.Lock()
	c.entry = append([]tdwire.VM(nil), vms...)
	c.mu.Unlock()
	c.publish()
}

// All returns every server that was ever started.
func (c *Cluster) All() []*Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Server(nil), c.all...)
}

// Reclaim takes the servers of a pool in a data centre away: they say that
// they are leaving, and are gone after the notice.
func (c *Cluster) Reclaim(pool, dataCentre string, notice time.Duration) {
	var gone []*Server
	for _, s := range c.All() {
		if s.group.Pool == pool && s.group.DataCentre == dataCentre {
			s.Leave()
			gone = append(gone, s)
		}
	}
	c.publish()
	time.AfterFunc(notice, func() {
		for _, s := range gone {
			s.Remove()
		}
		c.publish()
	})
}

// carryOut brings the number of servers to what an order wants.
func (c *Cluster) carryOut(o tdwire.ServerOrder) {
	var up []*Server
	for _, s := range c.All() {
		if s.group.Pool == o.Pool && s.group.DataCentre == o.DataCentre && s.wanted() {
			up = append(up, s)
		}
	}
	for n := len(up) - 1; n >= max(o.Want, 0); n-- {
		up[n].Leave()
	}
	for n := len(up); n < o.Want; n++ {
		time.AfterFunc(c.spec.StartUp, func() { c.start(o.Pool, o.DataCentre) })
	}
	c.publish()
}

func (c *Cluster) start(pool, dataCentre string) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return
	}
	for _, g := range c.spec.Groups {
		if g.Pool == pool && g.DataCentre == dataCentre {
			if _, err := c.add(g); err == nil {
				c.publish()
			}
			return
		}
	}
}

// Close ends the stand-ins.
func (c *Cluster) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.platform.close()
	for _, s := range c.All() {
		s.Remove()
	}
}
