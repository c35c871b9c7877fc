package tdpeer_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"tarragondeal/internal/fleet/tdpeer"
)

var _ = Describe("counters", func() {
	It("creates no metric for an unknown method called by a peer", func() {
		scope := tally.NewTestScope("", nil)
		l, err := tdpeer.New(noMembers{}, tdpeer.Options{Scope: scope})
		Expect(err).NotTo(HaveOccurred())
		grpc_health_v1.RegisterHealthServer(l.Server(), health.NewServer())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- l.Serve(ctx, ln) }()
		DeferCleanup(func() {
			cancel()
			l.Server().Stop()
			Expect(<-done).To(Succeed())
		})
		peer, err := tdpeer.New(noMembers{}, tdpeer.Options{})
		Expect(err).NotTo(HaveOccurred())
		defer peer.Close()
		conn, err := peer.Dial(netip.MustParseAddrPort(ln.Addr().String()))
		Expect(err).NotTo(HaveOccurred())
		wait, stop := context.WithTimeout(context.Background(), 30*time.Second)
		defer stop()
		_, err = grpc_health_v1.NewHealthClient(conn).Check(wait, &grpc_health_v1.HealthCheckRequest{})
		Expect(err).NotTo(HaveOccurred())
		for n := range 5 {
			in, out := &grpc_health_v1.HealthCheckRequest{}, &grpc_health_v1.HealthCheckResponse{}
			Expect(conn.Invoke(wait, fmt.Sprintf("/invented.Service%d/Call", n), in, out)).NotTo(Succeed())
		}
		methods := make(map[string]bool)
		for _, c := range scope.Snapshot().Counters() {
			if m := c.Tags()["method"]; m != "" {
				methods[m] = true
			}
		}
		Expect(methods).To(HaveKey("Health/Check"))
		Expect(methods).To(HaveKey("other"))
		Expect(methods).To(HaveLen(2))
	})
})
