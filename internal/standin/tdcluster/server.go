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

// Server is one fake backend server. Either Engine or Service is set.
type Server struct {
	VM      tdwire.VM
	Engine  *tdengine.Engine
	Service *tdservice.Service

	group        Group
	restartAfter time.Duration
	started      time.Time
	mu           sync.Mutex
	listener     *listener
	leaving      time.Time // Zero unless the server is leaving.
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

// start starts listening. A restarted server listens on its previous address;
// a removed one does not start.
func (s *Server) start() error {
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

// maxListenTries limits how many ports are tried. Another process of the
// measurement may take a port after it was found free.
const maxListenTries = 10

// listen listens on the server's previous address, or on a free one.
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
		if err == nil || n == maxListenTries {
			return l, err
		}
	}
}

// Kill stops the server at once: its connections break, and new ones are
// refused. It stays in the platform's list.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.close()
}

// Crash kills the server and restarts it after Spec.RestartAfter.
func (s *Server) Crash() {
	s.Kill()
	if s.restartAfter > 0 {
		time.AfterFunc(s.restartAfter, func() { _ = s.start() })
	}
}

// Leave makes the server report that it is leaving.
func (s *Server) Leave() {
	s.mu.Lock()
	if s.leaving.IsZero() {
		s.leaving = time.Now()
	}
	s.mu.Unlock()
	if s.Engine != nil {
		s.Engine.SetLeaving(true)
	} else {
		s.Service.SetLeaving(true)
	}
}

// Remove kills the server and removes it from the platform's list.
func (s *Server) Remove() {
	s.mu.Lock()
	if s.removed.IsZero() {
		s.removed = time.Now()
	}
	s.mu.Unlock()
	s.Kill()
}

// Leaving returns when the server began to leave, or zero if it did not.
func (s *Server) Leaving() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Uptime returns the time from the server's start to its removal, or to now if
// it was not removed.
func (s *Server) Uptime(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.removed.IsZero() {
		return s.removed.Sub(s.started)
	}
	return now.Sub(s.started)
}

func (s *Server) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.IsZero() && s.removed.IsZero()
}

// listEntry returns the server's entry in the platform's list, and false if
// the server was removed.
func (s *Server) listEntry() (tdwire.VM, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vm := s.VM
	if !s.leaving.IsZero() {
		vm.State = "leaving"
	}
	return vm, s.removed.IsZero()
}

// listener is an HTTP server on a loopback address.
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
