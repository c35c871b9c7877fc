package tdoperator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/entry/tdoperator"
)

// writeCert writes a self-signed certificate and its key to dir.
func writeCert(dir, name string, serial int64) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	Expect(err).NotTo(HaveOccurred())
	keyBytes, err := x509.MarshalECPrivateKey(private)
	Expect(err).NotTo(HaveOccurred())
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	Expect(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(Succeed())
	Expect(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyBytes}), 0o600)).To(Succeed())
	return cert, key
}

var _ = Describe("the operator API with TLS", func() {
	It("serves only TLS, to clients that trust its certificate authority, and reloads changed files", func() {
		ctx, dir := context.Background(), GinkgoT().TempDir()
		cert, key := writeCert(dir, "tarragondeal", 1)
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		secure, err := tdoperator.NewTLSListener(plain, cert, key, zerolog.Nop())
		Expect(err).NotTo(HaveOccurred())
		api := tdoperator.New(tdoperator.Deps{
			Config: newPublisher(), Members: members{}, Clock: tdclock.New(), Metrics: http.NotFoundHandler(),
			Tokens: []tdoperator.Token{{Name: "anna", Text: anna}},
		})
		server := &http.Server{Handler: api.Handler(), ReadHeaderTimeout: time.Minute}
		done := make(chan error)
		go func() { done <- server.Serve(secure) }()
		DeferCleanup(func() {
			Expect(server.Close()).To(Succeed())
			Expect(<-done).To(MatchError(http.ErrServerClosed))
		})
		client := func(name string) *tdoperator.Client {
			c := tdoperator.NewClient(plain.Addr().String(), anna)
			Expect(c.Trust(cert, name)).To(Succeed())
			return c
		}
		_, err = client("tarragondeal").Set(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = client("another").Set(ctx)
		Expect(err).To(HaveOccurred())
		_, err = tdoperator.NewClient(plain.Addr().String(), anna).Set(ctx)
		Expect(err).To(HaveOccurred())

		writeCert(dir, "tarragondeal", 2)
		Eventually(func() error {
			_, err := client("tarragondeal").Set(ctx)
			return err
		}, "30s", "100ms").Should(Succeed())

		renewed := client("tarragondeal")
		Expect(os.WriteFile(key, []byte("no key"), 0o600)).To(Succeed())
		Consistently(func() error {
			_, err := renewed.Set(ctx)
			return err
		}, "1500ms", "300ms").Should(Succeed())
	})

	It("returns an error for files that can't be loaded", func() {
		_, err := tdoperator.NewTLSListener(nil, "/nowhere.pem", "/nowhere.pem", zerolog.Nop())
		Expect(err).To(MatchError(ContainSubstring("/nowhere.pem")))
		Expect(tdoperator.NewClient("127.0.0.1:1", anna).Trust("/nowhere.pem", "x")).NotTo(Succeed())
	})
})
