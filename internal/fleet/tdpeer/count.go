package tdpeer

import (
	"context"
	"net"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// counters count what goes over the links: messages and their bytes by
// service and method, and all bytes of the connections, framing and
// encryption included.
type counters struct {
	scope    tally.Scope
	sent     tally.Counter
	received tally.Counter
	methods  sync.Map // Of *method, by full name.
	dialer   net.Dialer
}

// method counts one method's messages.
type method struct {
	sent, received           tally.Counter
	sentBytes, receivedBytes tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope: scope, sent: scope.Counter("linkSentBytes"), received: scope.Counter("linkReceivedBytes"),
		dialer: net.Dialer{Timeout: connectTimeout},
	}
}

func (c *counters) method(name string) *method {
	if m, ok := c.methods.Load(name); ok {
		return m.(*method)
	}
	// The name is "/package.Service/Method".
	short := name[strings.LastIndexByte(name, '.')+1:]
	s := c.scope.Tagged(map[string]string{"method": short})
	m, _ := c.methods.LoadOrStore(name, &method{
		sent: s.Counter("sent"), received: s.Counter("received"),
		sentBytes: s.Counter("sentBytes"), receivedBytes: s.Counter("receivedBytes"),
	})
	return m.(*method)
}

type methodKey struct{}

// TagRPC notes which method a call is of.
func (c *counters) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, c.method(info.FullMethodName))
}

// otherMethods stands for all methods that no duty serves.
const otherMethods = "other"

// served counts the calls of peers. A peer may call any name, so that the
// methods which no duty serves are counted as one.
type served struct {
	*counters
	server *grpc.Server
	once   sync.Once
	names  map[string]bool
}

// TagRPC notes which method a call is of.
func (s *served) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	s.once.Do(s.list) // All duties have registered before the first call.
	name := info.FullMethodName
	if !s.names[name] {
		name = otherMethods
	}
	return context.WithValue(ctx, methodKey{}, s.method(name))
}

func (s *served) list() {
	s.names = make(map[string]bool)
	for service, info := range s.server.GetServiceInfo() {
		for _, m := range info.Methods {
			s.names["/"+service+"/"+m.Name] = true
		}
	}
}

// HandleRPC counts a message.
func (c *counters) HandleRPC(ctx context.Context, s stats.RPCStats) {
	m, ok := ctx.Value(methodKey{}).(*method)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InPayload:
		m.received.Inc(1)
		m.receivedBytes.Inc(int64(s.WireLength))
	case *stats.OutPayload:
		m.sent.Inc(1)
		m.sentBytes.Inc(int64(s.WireLength))
	}
}

// TagConn does nothing.
func (c *counters) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (c *counters) HandleConn(context.Context, stats.ConnStats) {}

func (c *counters) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, count: c}, nil
}

// counted is a listener whose connections are counted.
type counted struct {
	net.Listener
	count *counters
}

// Accept waits for the next connection.
func (l counted) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, count: l.count}, nil
}

type countedConn struct {
	net.Conn
	count *counters
}

// Read counts what was received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.received.Inc(int64(n))
	return n, err
}

// Write counts what was sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.sent.Inc(int64(n))
	return n, err
}
