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

// counters is a stats.Handler that counts traffic over the links: messages and
// their bytes by service and method, and all bytes of the connections including
// framing and encryption.
type counters struct {
	scope    tally.Scope
	sent     tally.Counter
	received tally.Counter
	methods  sync.Map // Values of type *method, by full method name.
	dialer   net.Dialer
}

// method holds the counters of one gRPC method.
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

// TagRPC attaches the counters of the called method to the context.
func (c *counters) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, c.method(info.FullMethodName))
}

// otherMethods is the name under which methods without a handler are counted.
const otherMethods = "other"

// serverCounters counts calls from peers. Peers may send arbitrary method names,
// so unknown methods share one counter, which bounds the number of metrics.
type serverCounters struct {
	*counters
	server *grpc.Server
	once   sync.Once
	names  map[string]bool
}

// TagRPC attaches the counters of the called method to the context.
func (s *serverCounters) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	s.once.Do(s.listMethods) // All services are registered before the first call.
	name := info.FullMethodName
	if !s.names[name] {
		name = otherMethods
	}
	return context.WithValue(ctx, methodKey{}, s.method(name))
}

func (s *serverCounters) listMethods() {
	s.names = make(map[string]bool)
	for service, info := range s.server.GetServiceInfo() {
		for _, m := range info.Methods {
			s.names["/"+service+"/"+m.Name] = true
		}
	}
}

// HandleRPC counts messages sent and received.
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

// TagConn implements stats.Handler. It does nothing.
func (c *counters) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler. It does nothing.
func (c *counters) HandleConn(context.Context, stats.ConnStats) {}

func (c *counters) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: c}, nil
}

// countedListener is a listener whose connections count their bytes.
type countedListener struct {
	net.Listener
	counters *counters
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counters: l.counters}, nil
}

type countedConn struct {
	net.Conn
	counters *counters
}

// Read reads from the connection and counts the bytes received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Inc(int64(n))
	return n, err
}
