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

// certCheckEvery is how often the files are looked at for changes.
const certCheckEvery = time.Second

// certificate is a certificate whose files may change while it is in use.
type certificate struct {
	cert, key string
	log       zerolog.Logger

	mu      sync.Mutex
	checked time.Time
	changed [2]time.Time // When the files in use were written.
	current *tls.Certificate
}

// Secure returns a listener that speaks TLS with the certificate in the
// files. Files that are replaced are used from the next connection on; the
// last ones in order stay in use when the new ones can't be read.
func Secure(ln net.Listener, certFile, keyFile string, log zerolog.Logger) (net.Listener, error) {
	c := &certificate{cert: certFile, key: keyFile, log: log}
	if err := c.load(); err != nil {
		return nil, err
	}
	return tls.NewListener(ln, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.newest(), nil
		},
		NextProtos: []string{"http/1.1"},
	}), nil
}

func (c *certificate) load() error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return eris.Wrapf(err, "certificate %s", c.cert)
	}
	c.changed, c.current = c.times(), &pair
	return nil
}

func (c *certificate) times() (out [2]time.Time) {
	for n, name := range []string{c.cert, c.key} {
		if info, err := os.Stat(name); err == nil {
			out[n] = info.ModTime()
		}
	}
	return out
}

func (c *certificate) newest() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checked) < certCheckEvery {
		return c.current
	}
	c.checked = now
	if c.times() == c.changed {
		return c.current
	}
	if err := c.load(); err != nil {
		c.log.Warn().Err(err).Msg("changed certificate can't be used; the last one stays")
		return c.current
	}
	c.log.Info().Msg("certificate renewed")
	return c.current
}

// Trust makes the client speak TLS with nodes whose certificates the
// authority in a file signed, for a name that all of them carry.
func (c *Client) Trust(caFile, name string) error {
	client, err := Trusting(caFile, name)
	if err != nil {
		return err
	}
	c.http, c.scheme = client, "https"
	return nil
}

// Trusting returns an HTTP client for servers whose certificates the
// authority in a file signed, for a name that all of them carry.
func Trusting(caFile, name string) (*http.Client, error) {
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, eris.Wrap(err, "authority")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, eris.Errorf("authority: no certificate in %s", caFile)
	}
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authority, ServerName: name}
	return &http.Client{Transport: t}, nil
}
