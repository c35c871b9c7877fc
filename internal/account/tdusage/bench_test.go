package tdusage

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
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
