package tdusage

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

func BenchmarkAdd(b *testing.B) {
	f := newFleet(2)
	m := f.meters[0]
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.count(3600, LineKey{workspaces[n%len(workspaces)], "narrate"}, Figures{1, 100, 200})
	}
}

// BenchmarkCommit is one second of one node's share of the peak: 2,900
// requests over 350 nodes, gathered in commits of 2 ms, so one at a time.
func BenchmarkCommit(b *testing.B) {
	f := newFleet(2)
	m := f.meters[0]
	var bytes int
	for n := 0; b.Loop(); n++ {
		m.count(3600, LineKey{workspaces[n%len(workspaces)], "narrate"}, Figures{1, 100, 200})
		bytes += requestBytes(m)
		m.commit(b.Context())
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/request")
}

// countingConn counts what passes a connection, in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// wire is a link to one peer over loopback.
type wire struct{ grpc.ClientConnInterface }

func (w wire) Conn(tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	return w.ClientConnInterface, nil
}

// BenchmarkWire commits one request at a time to a peer over loopback and
// counts all bytes of the connection.
func BenchmarkWire(b *testing.B) {
	f := newFleet(2)
	srv := grpc.NewServer()
	RegisterCopiesServer(srv, f.copies[1])
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Stop()
	var bytes atomic.Int64
	conn, err := grpc.NewClient("passthrough:///"+ln.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(_ context.Context, addr string) (net.Conn, error) {
			c, err := net.Dial("tcp", addr)
			return countingConn{c, &bytes}, err
		}))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	m := f.meters[0]
	m.Links = wire{conn}
	for n := 0; b.Loop(); n++ {
		m.count(3600, LineKey{workspaces[n%len(workspaces)], "narrate"}, Figures{1, 100, 200})
		m.commit(b.Context())
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/request")
}

// BenchmarkRecord is what one flush of a full segment writes.
func BenchmarkRecord(b *testing.B) {
	l := make(Lines)
	for n := range maxSegmentLines {
		l[LineKey{workspaces[n%len(workspaces)], fmt.Sprint("route", n/len(workspaces))}] = Figures{int64(n), int64(n * 1000), int64(n * 300)}
	}
	var size int
	for b.Loop() {
		value, err := Stored{Lines: l}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(value)
	}
	b.ReportMetric(float64(size), "B/record")
	b.ReportMetric(float64(size)/float64(len(l)), "B/line")
}

var workspaces = func() []string {
	out := make([]string, 6600)
	for n := range out {
		out[n] = fmt.Sprintf("workspace-%04d", n)
	}
	return out
}()

func requestBytes(m *Meter) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	parts := m.book.takeUncopied()
	for _, p := range parts {
		for _, l := range p.GetLines() {
			m.book.index[p.GetWindow()][LineKey{l.GetWorkspace(), l.GetRoute()}].uncopied[LineKey{l.GetWorkspace(), l.GetRoute()}] = true
		}
	}
	return proto.Size(&KeepRequest{Origin: m.process, Seq: m.seq, Parts: parts})
}

// BenchmarkMemory holds one window of some workspaces on two routes, at the
// process that counts and at its peer.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1650, 3300, 6600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(2)
				before := heap()
				for _, w := range workspaces[:n] {
					for _, r := range routeNames {
						f.meters[0].count(3600, LineKey{w, r}, Figures{1, 100, 200})
					}
				}
				counted := heap()
				f.meters[0].commit(b.Context())
				kept := heap()
				b.ReportMetric(float64(counted-before), "B")
				b.ReportMetric(float64(kept-counted), "B/copy")
				runtime.KeepAlive(f)
			}
		})
	}
}

var routeNames = []string{"narrate", "summarise"}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
