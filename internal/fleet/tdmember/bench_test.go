package tdmember_test

import (
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// BenchmarkIdle runs fleets of several sizes in one process. One operation is
// a second of an idle fleet. It reports what a node takes of a core, and what
// it sends on its links, heartbeats at the default rate; then what it sends
// until a new version is known of all at all.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("%dnodes", size), func(b *testing.B) {
			RegisterTestingT(b)
			var nodes []*node
			var scopes []tally.TestScope
			var seeds []netip.AddrPort
			for n := range size {
				scope := tally.NewTestScope("", nil)
				x := start(n, 500*time.Millisecond, scope, nil, seeds...)
				defer x.stop()
				seeds = append(seeds, x.members.Self().Peer)[:min(len(seeds)+1, 3)]
				nodes, scopes = append(nodes, x), append(scopes, scope)
			}
			for _, x := range nodes {
				Eventually(x.names, "60s", "50ms").Should(HaveLen(size))
			}
			time.Sleep(3 * time.Second)
			cpu, sent := processor(), bytes(scopes)
			b.ResetTimer()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			b.StopTimer()
			per := 1 / (b.Elapsed().Seconds() * float64(size))
			b.ReportMetric(100*(processor()-cpu).Seconds()*per, "core-%/node")
			b.ReportMetric(float64(bytes(scopes)-sent)*per, "sent-B/s/node")
			cpu, sent = processor(), bytes(scopes)
			began := time.Now()
			for _, x := range nodes {
				x.members.SetConfig(7)
			}
			for _, x := range nodes {
				Eventually(func() bool { return allHave(x, 7) }, "60s", "2ms").Should(BeTrue())
			}
			b.ReportMetric(time.Since(began).Seconds()*1e3, "version-ms")
			b.ReportMetric(float64(bytes(scopes)-sent)/float64(size), "version-B/node")
			b.ReportMetric((processor()-cpu).Seconds()*1e3/float64(size), "version-cpu-ms/node")
		})
	}
}

func allHave(x *node, v tarragondeal.Version) bool {
	for _, m := range x.members.Members() {
		if m.Config < v {
			return false
		}
	}
	return true
}

func processor() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func bytes(scopes []tally.TestScope) int64 {
	var sum int64
	for _, s := range scopes {
		for _, c := range s.Snapshot().Counters() {
			if c.Name() == "linkSentBytes" {
				sum += c.Value()
			}
		}
	}
	return sum
}
