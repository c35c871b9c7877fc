package tdconfig

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"tarragondeal"
	"tarragondeal/internal/test/tdmemstore"
)

// BenchmarkWithdraw publishes the withdrawal of one key for sets of several
// sizes. It reports the bytes written to the store for each publication and
// the live heap of a node that has the set in force.
func BenchmarkWithdraw(b *testing.B) {
	for _, c := range []struct{ workspaces, keys int }{{10, 40}, {660, 2000}, {6600, 20000}} {
		b.Run(fmt.Sprintf("%dkeys", c.keys), func(b *testing.B) {
			before := liveHeapBytes()
			mem := tdmemstore.New()
			p := newTestConfig(mem, 3)
			ctx := context.Background()
			set := bigSet(c.workspaces, c.keys)
			if _, err := p.Publish(ctx, 0, set, tarragondeal.Publication{}); err != nil {
				b.Fatal(err)
			}
			pieces, first := len(p.current.Load().contents), mem.Bytes.Load()
			version := tarragondeal.Version(1)
			b.ResetTimer()
			for b.Loop() {
				k := &set.Keys[int(version)%len(set.Keys)]
				k.Withdrawn = !k.Withdrawn
				var err error
				if version, err = p.Publish(ctx, version, set, tarragondeal.Publication{}); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(mem.Bytes.Load()-first)/float64(b.N), "written-B/op")
			b.ReportMetric(float64(first), "first-B")
			b.ReportMetric(float64(pieces), "pieces")
			last := p.current.Load()
			mem, set, p = nil, nil, nil
			b.ReportMetric(float64(liveHeapBytes()-before), "live-B")
			runtime.KeepAlive(last)
		})
	}
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
