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
// one second of an idle fleet with the default heartbeat interval. It reports
// the CPU time and the bytes sent per node. It then announces a new version on
// every node and reports the time, the bytes and the CPU time until all nodes
// know the version of all others.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{8, 16, 32, 64, 128} {
		b.Run(fmt.Sprintf("%dnodes", size), func(b *testing.B) {
			RegisterTestingT(b)
			var nodes []*node
			var scopes []tally.TestScope
			var seeds []netip.AddrPort
			for n := range size {
				scope := tally.NewTestScope("", nil)
				x := startNode(n, 500*time.Millisecond, scope, nil, seeds...)
				defer x.stop()
				seeds = append(seeds, x.members.Self().Peer)[:min(len(seeds)+1, 3)]
				nodes, scopes = append(nodes, x), append(scopes, scope)
			}
			for _, x := range nodes {
				Eventually(x.names, "60s", "50ms").Should(HaveLen(size))
			}
			time.Sleep(3 * time.Second)
			cpu, sent := cpuTime(), totalSentBytes(scopes)
			b.ResetTimer()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			b.StopTimer()
			per := 1 / (b.Elapsed().Seconds() * float64(size))
			b.ReportMetric(100*(cpuTime()-cpu).Seconds()*per, "core-%/node")
			b.ReportMetric(float64(totalSentBytes(scopes)-sent)*per, "sent-B/s/node")
			cpu, sent = cpuTime(), totalSentBytes(scopes)
			began := time.Now()
			for _, x := range nodes {
				x.members.SetConfig(7)
			}
			for _, x := range nodes {
				Eventually(func() bool { return allHaveVersion(x, 7) }, "60s", "2ms").Should(BeTrue())
			}
			b.ReportMetric(time.Since(began).Seconds()*1e3, "version-ms")
			b.ReportMetric(float64(totalSentBytes(scopes)-sent)/float64(size), "version-B/node")
			b.ReportMetric((cpuTime()-cpu).Seconds()*1e3/float64(size), "version-cpu-ms/node")
		})
	}
}

func allHaveVersion(x *node, v tarragondeal.Version) bool {
	for _, m := range x.members.Members() {
		if m.Config < v {
			return false
		}
	}
	return true
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func totalSentBytes(scopes []tally.TestScope) int64 {
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
