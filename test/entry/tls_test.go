package entry_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"os/exec"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/test/tdcert"
	"tarragondeal/internal/test/tdtest"
)

var _ = Describe("the callers' side with TLS", func() {
	It("serves only TLS, to callers that trust its certificate authority", func() {
		authority, err := tdcert.New()
		Expect(err).NotTo(HaveOccurred())
		files, err := authority.Issue(GinkgoT().TempDir(), "entry.test", 1)
		Expect(err).NotTo(HaveOccurred())
		cluster, err := tdcluster.Start(tdcluster.Spec{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(cluster.Close)
		node := tdtest.StartNode(binary, tdtest.NodeSpec{
			Name: "node1", DataCentre: "duluth", PlatformURL: cluster.PlatformURL,
			Args: []string{"-callers.cert", files.Cert, "-callers.key", files.Key},
		})
		DeferCleanup(node.Kill)
		text, err := os.ReadFile(files.CA)
		Expect(err).NotTo(HaveOccurred())
		known := x509.NewCertPool()
		Expect(known.AppendCertsFromPEM(text)).To(BeTrue())
		get := func(scheme string, cfg *tls.Config) (int, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			t := &http.Transport{TLSClientConfig: cfg}
			defer t.CloseIdleConnections()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, scheme+"://"+node.Callers.String()+"/healthz", nil)
			Expect(err).NotTo(HaveOccurred())
			res, err := t.RoundTrip(req)
			if err != nil {
				return 0, err
			}
			return res.StatusCode, res.Body.Close()
		}
		Expect(get("https", &tls.Config{RootCAs: known, ServerName: "entry.test"})).To(Equal(http.StatusOK))
		_, err = get("https", &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "entry.test"})
		Expect(err).To(HaveOccurred())
		out, err := exec.Command(binary, "entry", "-node", node.Callers.String(), "-ca", files.CA, "-certName", "entry.test").Output()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(out)).To(ContainSubstring(node.Callers.String()))
		Expect(get("http", nil)).To(Equal(http.StatusBadRequest)) // net/http answers plain HTTP on a TLS port with 400.
	})
})
