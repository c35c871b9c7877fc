package tdpeer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/peer"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdpeer"
	"tarragondeal/internal/test/tdcert"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peer")
}

const nodesName = "nodes.test"

func newAuthority() *tdcert.Authority {
	a, err := tdcert.New()
	Expect(err).NotTo(HaveOccurred())
	return a
}

// issueFiles writes a certificate for the DNS name into dir.
func issueFiles(a *tdcert.Authority, dir, dns string, serial int64) tdpeer.Files {
	f, err := a.Issue(dir, dns, serial)
	Expect(err).NotTo(HaveOccurred())
	return tdpeer.Files{Cert: f.Cert, Key: f.Key, CA: f.CA, Name: nodesName}
}

// noMembers is an empty membership.
type noMembers struct{}

func (noMembers) Self() tarragondeal.Member      { return tarragondeal.Member{} }
func (noMembers) Members() []tarragondeal.Member { return nil }
func (noMembers) Changed() <-chan struct{}       { return nil }

func serve(f tdpeer.Files) netip.AddrPort {
	l, err := tdpeer.New(noMembers{}, tdpeer.Options{Files: f})
	Expect(err).NotTo(HaveOccurred())
	grpc_health_v1.RegisterHealthServer(l.Server(), health.NewServer())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, ln) }()
	DeferCleanup(func() {
		cancel() // Before Stop: Serve returns an error if the server was stopped first.
		l.Server().Stop()
		Expect(<-done).To(Succeed())
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// call makes a call with the files and returns the serial number of the server's
// certificate.
func call(f tdpeer.Files, to netip.AddrPort) (int64, error) {
	l, err := tdpeer.New(noMembers{}, tdpeer.Options{Files: f})
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	conn, err := l.Dial(to)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var p peer.Peer
	_, err = grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{}, grpc.Peer(&p))
	if info, ok := p.AuthInfo.(credentials.TLSInfo); ok && err == nil {
		return info.State.PeerCertificates[0].SerialNumber.Int64(), nil
	}
	return 0, err
}

var _ = Describe("links", func() {
	var (
		own, foreign *tdcert.Authority
		server       netip.AddrPort
		files        tdpeer.Files
		dir          string
	)

	BeforeEach(func() {
		own, foreign = newAuthority(), newAuthority()
		dir = GinkgoT().TempDir()
		files = issueFiles(own, dir, nodesName, 7)
		server = serve(files)
	})

	It("connect nodes with certificates of the same authority", func() {
		Expect(call(issueFiles(own, GinkgoT().TempDir(), nodesName, 8), server)).To(Equal(int64(7)))
	})

	for _, c := range []struct {
		name  string
		files func() tdpeer.Files
	}{
		{"a caller without a certificate", func() tdpeer.Files { return tdpeer.Files{} }},
		{"another authority's certificate", func() tdpeer.Files {
			f := issueFiles(foreign, GinkgoT().TempDir(), nodesName, 8)
			f.CA = files.CA
			return f
		}},
		{"a certificate for another name", func() tdpeer.Files { return issueFiles(own, GinkgoT().TempDir(), "backend.test", 8) }},
	} {
		It("reject "+c.name, func() {
			_, err := call(c.files(), server)
			Expect(err).To(HaveOccurred())
		})
	}

	It("reject a server with a certificate of another authority", func() {
		_, err := call(issueFiles(own, GinkgoT().TempDir(), nodesName, 8), serve(issueFiles(foreign, GinkgoT().TempDir(), nodesName, 9)))
		Expect(err).To(HaveOccurred())
	})

	It("present a renewed certificate without a restart, and keep the previous one if the new one is invalid", func() {
		client := issueFiles(own, GinkgoT().TempDir(), nodesName, 8)
		issueFiles(own, dir, nodesName, 17)
		Eventually(func() (int64, error) { return call(client, server) }, "20s").Should(Equal(int64(17)))
		Expect(os.WriteFile(files.Cert, []byte("broken"), 0o600)).To(Succeed())
		Consistently(func() (int64, error) { return call(client, server) }, "1500ms", "100ms").Should(Equal(int64(17)))
	})

	It("report the certificate file that can't be used", func() {
		files.Key = filepath.Join(dir, "none.pem")
		_, err := tdpeer.New(noMembers{}, tdpeer.Options{Files: files})
		var wrong *tdpeer.FileError
		Expect(errors.As(err, &wrong)).To(BeTrue())
		Expect(wrong.File).To(Equal(files.Key))
	})
})
