// Package tdfault provides a TCP proxy for tests that breaks, delays or
// freezes the connections through it.
//
// # Usage
//
//	p, err := tdfault.New(target)
//	defer p.Close()
//	// Connect to p.Addr() in place of target.
//	p.Cut()    // Break all connections and refuse new ones.
//	p.Freeze() // Keep connections open and forward nothing.
//	p.Heal()
package tdfault

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// chunkBytes is the largest number of bytes forwarded at a time.
const chunkBytes = 16 << 10

// mode determines how the proxy treats connections.
type mode int

const (
	forwarding mode = iota
	cut
	frozen
)

// Proxy forwards connections to one target.
type Proxy struct {
	ln      net.Listener
	target  netip.AddrPort
	addr    netip.AddrPort
	mu      sync.Mutex
	mode    mode
	delay   time.Duration
	changed chan struct{}
	conns   map[net.Conn]struct{}
	bytes   int64
	done    chan struct{}
}

// New returns a proxy that listens on loopback.
func New(target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	addr, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		return nil, eris.Wrap(err, "address")
	}
	p := &Proxy{
		ln: ln, target: target, addr: addr,
		changed: make(chan struct{}), conns: make(map[net.Conn]struct{}), done: make(chan struct{}),
	}
	go p.accept()
	return p, nil
}

// Addr returns the address the proxy listens on.
func (p *Proxy) Addr() netip.AddrPort { return p.addr }

// Cut breaks all connections and refuses new ones.
func (p *Proxy) Cut() {
	p.setMode(cut)
	p.closeConns()
}

// Freeze keeps connections open and forwards nothing.
func (p *Proxy) Freeze() { p.setMode(frozen) }

// Heal resumes forwarding.
func (p *Proxy) Heal() { p.setMode(forwarding) }

// Delay delays each chunk by d, in both directions.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Bytes returns the number of bytes forwarded in both directions.
func (p *Proxy) Bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Close stops the proxy and breaks its connections.
func (p *Proxy) Close() {
	_ = p.ln.Close()
	p.Cut()
	<-p.done
}

func (p *Proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	defer close(p.done)
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		if p.state().mode == cut {
			_ = c.Close()
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(in net.Conn) {
	out, err := net.DialTimeout("tcp", p.target.String(), time.Second)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	ended := make(chan struct{}, 2)
	go p.forward(out, in, ended)
	go p.forward(in, out, ended)
	<-ended
	_ = in.Close()
	_ = out.Close()
	<-ended
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *Proxy) forward(to io.Writer, from io.Reader, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitToForward() {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
			p.mu.Lock()
			p.bytes += int64(n)
			p.mu.Unlock()
		}
		if err != nil {
			return
		}
	}
}

type state struct {
	mode    mode
	delay   time.Duration
	changed <-chan struct{}
}

func (p *Proxy) state() state {
	p.mu.Lock()
	defer p.mu.Unlock()
	return state{mode: p.mode, delay: p.delay, changed: p.changed}
}

// waitToForward waits for the delay and while the proxy is frozen. It reports
// false if the connection is to be cut.
func (p *Proxy) waitToForward() bool {
	s := p.state()
	if s.delay > 0 {
		time.Sleep(s.delay)
	}
	for s.mode == frozen {
		<-s.changed
		s = p.state()
	}
	return s.mode == forwarding
}
