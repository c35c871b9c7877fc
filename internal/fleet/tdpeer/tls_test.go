package tdpeer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
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
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Peer")
}

const name = "nodes.test"

// authority signs certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{cert: cert, key: key}
}

// issue writes a certificate for dns into dir.
func (a *authority) issue(dir, dns string, serial int64) tdpeer.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{dns}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	secret, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	f := tdpeer.Files{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"), Name: name,
	}
	write(f.CA, "CERTIFICATE", a.cert.Raw)
	write(f.Key, "EC PRIVATE KEY", secret)
	write(f.Cert, "CERTIFICATE", der)
	return f
}

func write(path, kind string, der []byte) {
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// nobody is a membership without members.
type nobody struct{}

func (nobody) Self() tarragondeal.Member      { return tarragondeal.Member{} }
func (nobody) Members() []tarragondeal.Member { return nil }
func (nobody) Changed() <-chan struct{}       { return nil }

func serve(f tdpeer.Files) netip.AddrPort {
	l, err := tdpeer.New(nobody{}, tdpeer.Options{Files: f})
	Expect(err).NotTo(HaveOccurred())
	grpc_health_v1.RegisterHealthServer(l.Server(), health.NewServer())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Serve(ctx, ln) }()
	DeferCleanup(func() {
		l.Server().Stop()
		cancel()
		Expect(<-done).To(Succeed())
	})
	return netip.MustParseAddrPort(ln.Addr().String())
}

// call makes a call with the files and returns the server's serial number.
func call(f tdpeer.Files, to netip.AddrPort) (int64, error) {
	l, err := tdpeer.New(nobody{}, tdpeer.Options{Files: f})
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
		own, foreign *authority
		server       netip.AddrPort
		files        tdpeer.Files
		dir          string
	)

	BeforeEach(func() {
		own, foreign = newAuthority(), newAuthority()
		dir = GinkgoT().TempDir()
		files = own.issue(dir, name, 7)
		server = serve(files)
	})

	It("pass between nodes of one authority", func() {
		Expect(call(own.issue(GinkgoT().TempDir(), name, 8), server)).To(Equal(int64(7)))
	})

	for _, c := range []struct {
		name  string
		files func() tdpeer.Files
	}{
		{"a caller without a certificate", func() tdpeer.Files { return tdpeer.Files{} }},
		{"another authority's certificate", func() tdpeer.Files {
			f := foreign.issue(GinkgoT().TempDir(), name, 8)
			f.CA = files.CA
			return f
		}},
		{"a certificate for another name", func() tdpeer.Files { return own.issue(GinkgoT().TempDir(), "backend.test", 8) }},
	} {
		It("refuse "+c.name, func() {
			_, err := call(c.files(), server)
			Expect(err).To(HaveOccurred())
		})
	}

	It("refuse a server of another authority", func() {
		_, err := call(own.issue(GinkgoT().TempDir(), name, 8), serve(foreign.issue(GinkgoT().TempDir(), name, 9)))
		Expect(err).To(HaveOccurred())
	})

	It("show a renewed certificate without a restart, and keep the last one over a broken one", func() {
		client := own.issue(GinkgoT().TempDir(), name, 8)
		own.issue(dir, name, 17)
		Eventually(func() (int64, error) { return call(client, server) }, "20s").Should(Equal(int64(17)))
		Expect(os.WriteFile(files.Cert, []byte("broken"), 0o600)).To(Succeed())
		Consistently(func() (int64, error) { return call(client, server) }, "1500ms", "100ms").Should(Equal(int64(17)))
	})

	It("name the file that can't be used", func() {
		files.Key = filepath.Join(dir, "none.pem")
		_, err := tdpeer.New(nobody{}, tdpeer.Options{Files: files})
		var wrong *tdpeer.FileError
		Expect(errors.As(err, &wrong)).To(BeTrue())
		Expect(wrong.File).To(Equal(files.Key))
	})
})
