package tdoperator

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// certCheckInterval is the minimum time between two checks of the files for
// changes.
const certCheckInterval = time.Second

// reloadingCert is a certificate that is reloaded when its files change.
type reloadingCert struct {
	certFile, keyFile string
	log               zerolog.Logger

	mu             sync.Mutex
	lastChecked    time.Time
	loadedModTimes [2]time.Time // Modification times of the certificate and key files when loaded.
	current        *tls.Certificate
}

// NewTLSListener returns a listener that accepts TLS connections on ln, with the
// certificate in the given files. When the files change, new connections use
// the new certificate within about a second. If the changed files can't be
// loaded, the previous certificate stays in use.
func NewTLSListener(ln net.Listener, certFile, keyFile string, log zerolog.Logger) (net.Listener, error) {
	c := &reloadingCert{certFile: certFile, keyFile: keyFile, log: log}
	if err := c.load(); err != nil {
		return nil, err
	}
	return tls.NewListener(ln, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.get(), nil
		},
		NextProtos: []string{"http/1.1"},
	}), nil
}

// load loads the certificate from its files.
func (c *reloadingCert) load() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return eris.Wrapf(err, "certificate %s", c.certFile)
	}
	c.loadedModTimes, c.current = c.modTimes(), &pair
	return nil
}

// modTimes returns the modification times of the certificate and key files; that
// of a missing file is zero.
func (c *reloadingCert) modTimes() (out [2]time.Time) {
	for n, name := range []string{c.certFile, c.keyFile} {
		if info, err := os.Stat(name); err == nil {
			out[n] = info.ModTime()
		}
	}
	return out
}

// get returns the certificate. It reloads the files first if they have changed.
func (c *reloadingCert) get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.lastChecked) < certCheckInterval {
		return c.current
	}
	c.lastChecked = now
	if c.modTimes() == c.loadedModTimes {
		return c.current
	}
	if err := c.load(); err != nil {
		c.log.Warn().Err(err).Msg("can't load changed certificate, keeping the previous one")
		return c.current
	}
	c.log.Info().Msg("certificate renewed")
	return c.current
}

// Trust makes the client use TLS. It accepts certificates that are signed by the
// certificate authority in caFile and valid for the given name. All nodes use the
// same name, so the address of the node is not verified.
func (c *Client) Trust(caFile, name string) error {
	client, err := NewHTTPSClient(caFile, name)
	if err != nil {
		return err
	}
	c.http, c.scheme = client, "https"
	return nil
}

// NewHTTPSClient returns an HTTP client that accepts server certificates that are
// signed by the certificate authority in caFile and valid for the given name,
// whatever the address of the server.
func NewHTTPSClient(caFile, name string) (*http.Client, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "can't read CA certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("no PEM certificate found in CA file %s", caFile)
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: name}
	return &http.Client{Transport: t}, nil
}
