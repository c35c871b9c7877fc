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
		m.count(3600, LineKey{workspaces[n%len(workspaces)], "narrate"}, Counts{1, 100, 200})
	}
}

// BenchmarkCommit commits one request at a time, as a node does at the peak:
// 2,900 requests per second over 350 nodes leave about one for each commit,
// which gathers for 2 ms.
func BenchmarkCommit(b *testing.B) {
	f := newFleet(2)
	m := f.meters[0]
	var bytes int
	for n := 0; b.Loop(); n++ {
		m.count(3600, LineKey{workspaces[n%len(workspaces)], "narrate"}, Counts{1, 100, 200})
		bytes += requestBytes(m)
		m.commit(b.Context())
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/request")
}

// countingConn counts the bytes of a connection in both directions.
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

// loopback provides a connection to one peer over the loopback interface.
type loopback struct{ grpc.ClientConnInterface }

func (w loopback) Conn(tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	return w.ClientConnInterface, nil
}

// BenchmarkWire commits one request at a time to a peer over the loopback
// interface and counts all bytes of the connection.
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
	m.Links = loopback{conn}
	for n := 0; b.Loop(); n++ {
		m.count(3600, LineKey{workspaces[n%len(workspaces)], "narrate"}, Counts{1, 100, 200})
		m.commit(b.Context())
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/request")
}

// BenchmarkRecord encodes the record that a flush of a full segment writes.
func BenchmarkRecord(b *testing.B) {
	l := make(Lines)
	for n := range maxSegmentLines {
		l[LineKey{workspaces[n%len(workspaces)], fmt.Sprint("route", n/len(workspaces))}] = Counts{int64(n), int64(n * 1000), int64(n * 300)}
	}
	var size int
	for b.Loop() {
		value, err := Generation{Lines: l}.Encode()
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

// requestBytes returns the size of the next request to the peer.
func requestBytes(m *Meter) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	parts := m.buffer.takeUncopied()
	for _, p := range parts {
		for _, l := range p.GetLines() {
			m.buffer.index[p.GetWindow()][LineKey{l.GetWorkspace(), l.GetRoute()}].uncopied[LineKey{l.GetWorkspace(), l.GetRoute()}] = true
		}
	}
	return proto.Size(&KeepRequest{Origin: m.process, Seq: m.seq, Parts: parts})
}

// BenchmarkMemory reports the heap that one window of workspaces on two routes
// takes in the process that counts and in its peer.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1650, 3300, 6600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(2)
				before := heap()
				for _, w := range workspaces[:n] {
					for _, r := range routeNames {
						f.meters[0].count(3600, LineKey{w, r}, Counts{1, 100, 200})
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
