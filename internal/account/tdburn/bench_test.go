package tdburn

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

func BenchmarkObserve(b *testing.B) {
	clock := &fixedClock{}
	burn := newBurn(clock)
	s := sample("bench", 200*time.Millisecond, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		clock.now += tarragondeal.Instant(time.Millisecond)
		burn.Observe(s)
	}
}

// burnWithPairs returns a recorder with six classes and the given number of pairs.
func burnWithPairs(pairs int) *Recorder {
	clock := &fixedClock{}
	b := newBurn(clock)
	for n := range max(pairs, 1) {
		clock.now += tarragondeal.Instant(time.Second)
		s := sample("bench", time.Duration(1+n%997)*time.Millisecond, time.Duration(1+n%4999)*time.Millisecond)
		s.Workspace = fmt.Sprintf("workspace%d", n)
		b.Observe(s)
		for k := range 6 {
			c, _ := b.class(fmt.Sprintf("class%d", k))
			c.add(clock.now, &s, countsOf(&s, true))
		}
	}
	return b
}

// BenchmarkAnswer builds a node's reply to Collect.
func BenchmarkAnswer(b *testing.B) {
	for _, pairs := range []int{64, 1024, 4096, 8192} {
		b.Run(fmt.Sprint(pairs), func(b *testing.B) {
			burn := burnWithPairs(pairs)
			b.ReportAllocs()
			for b.Loop() {
				burn.snapshot()
			}
			b.ReportMetric(float64(proto.Size(burn.snapshot())), "B/answer")
		})
	}
}

// BenchmarkMerge merges one node's measures.
func BenchmarkMerge(b *testing.B) {
	for _, pairs := range []int{64, 8192} {
		b.Run(fmt.Sprint(pairs), func(b *testing.B) {
			in := burnWithPairs(pairs).snapshot()
			m := newMergedMeasures()
			b.ReportAllocs()
			for b.Loop() {
				if err := m.add("n", in); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPairState reports the memory of a pair of workspace and class, and
// that of a class.
func BenchmarkPairState(b *testing.B) {
	for b.Loop() {
		clock := &fixedClock{}
		burn := newBurn(clock)
		before := heapBytes()
		for n := range maxPairs {
			s := sample("bench", time.Millisecond, time.Second)
			s.Workspace = fmt.Sprintf("workspace%d", n)
			burn.Observe(s)
		}
		pairs := heapBytes() - before
		before = heapBytes()
		const classes = 6
		for n := range 72 * 60 {
			clock.now += tarragondeal.Instant(time.Minute)
			for k := range classes {
				c, _ := burn.class(fmt.Sprintf("class%d", k))
				s := sample("bench", time.Duration(1+n%997)*time.Millisecond, time.Duration(1+n%4999)*time.Millisecond)
				c.add(clock.now, &s, countsOf(&s, true))
			}
		}
		b.ReportMetric(float64(pairs)/maxPairs, "B/pair")
		b.ReportMetric(float64(heapBytes()-before)/classes, "B/class")
		m := burn.snapshot()
		b.ReportMetric(float64(proto.Size(m)), "B/answer")
		runtime.KeepAlive(burn)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
