package tdcluster

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal/internal/platform/tdwire"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdport"
	"tarragondeal/internal/standin/tdservice"
)

// Server is one backend server.
type Server struct {
	VM      tdwire.VM
	Engine  *tdengine.Engine
	Service *tdservice.Service

	group        Group
	restartAfter time.Duration
	started      time.Time
	mu           sync.Mutex
	listener     *listener
	leaving      time.Time // When it began to leave; zero if it does not.
	removed      time.Time
}

func newServer(name string, g Group, restartAfter time.Duration) *Server {
	s := &Server{group: g, restartAfter: restartAfter, started: time.Now()}
	if g.Engine != nil {
		o := *g.Engine
		o.Name, o.OnCrash = name, s.Crash
		s.Engine = tdengine.New(o)
	} else {
		o := *g.Service
		o.Name, o.OnCrash = name, s.Crash
		s.Service = tdservice.New(o)
	}
	s.VM = tdwire.VM{Name: name, Kind: tdwire.KindServer, Pool: g.Pool, DataCentre: g.DataCentre, State: "live"}
	return s
}

func (s *Server) handler() http.Handler {
	if s.Engine != nil {
		return s.Engine.Handler()
	}
	return s.Service.Handler()
}

// up listens, on the address it had before if it had one.
func (s *Server) up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.removed.IsZero() {
		return nil
	}
	l, err := s.listen()
	if err != nil {
		return err
	}
	s.listener, s.VM.Addr = l, l.addr
	return nil
}

// listenTries is how many ports are tried, as other processes of a
// measurement take ports, too.
const listenTries = 10

// listen listens on the address that the server had before, or on a free one.
func (s *Server) listen() (*listener, error) {
	if s.VM.Addr.IsValid() {
		return listenOn(s.VM.Addr.String(), s.handler())
	}
	for n := 1; ; n++ {
		addr, err := tdport.Free()
		if err != nil {
			return nil, err
		}
		l, err := listenOn(addr.String(), s.handler())
		if err == nil || n == listenTries {
			return l, err
		}
	}
}

// Kill ends the server at once: its connections break, and new ones are
// refused. It stays on the platform's list.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.close()
}

// Crash kills the server and starts it again after a while.
func (s *Server) Crash() {
	s.Kill()
	if s.restartAfter > 0 {
		time.AfterFunc(s.restartAfter, func() { _ = s.up() })
	}
}

// Leave makes the server say that it is leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	if s.leaving.IsZero() {
		s.leaving = time.Now()
	}
	s.mu.Unlock()
	if s.Engine != nil {
		s.Engine.Leave(true)
	} else {
		s.Service.SetLeaving(true)
	}
}

// Remove kills the server and takes it off the list.
func (s *Server) Remove() {
	s.mu.Lock()
	if s.removed.IsZero() {
		s.removed = time.Now()
	}
	s.mu.Unlock()
	s.Kill()
}

// Leaving returns when the server began to leave; zero if it did not.
func (s *Server) Leaving() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// UpFor returns how long the server was up by now.
func (s *Server) UpFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.removed.IsZero() {
		return s.removed.Sub(s.started)
	}
	return now.Sub(s.started)
}

func (s *Server) wanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.IsZero() && s.removed.IsZero()
}

// listed returns the server's line on the platform's list.
func (s *Server) listed() (tdwire.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := s.VM
	if !s.leaving.IsZero() {
		vm.State = "leaving"
	}
	return vm, s.removed.IsZero()
}

// listener is an HTTP server on an address of loopback.
type listener struct {
	addr netip.AddrPort
	srv  *http.Server
}

func listen(h http.Handler) (*listener, error) { return listenOn("127.0.0.1:0", h) }

func listenOn(addr string, h http.Handler) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	at, err := netip.ParseAddrPort(ln.Addr().String())
	if err != nil {
		return nil, eris.Wrap(err, "address")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	return &listener{addr: at, srv: srv}, nil
}

func (l *listener) close() { _ = l.srv.Close() }
