package tdpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/credentials"
)

// Files holds the paths of a node's certificate files.
type Files struct {
	Cert string
	Key  string
	CA   string // Certificates of the authority that signs the nodes' certificates.
	// Name is the DNS name in the certificates of all nodes. The addresses of
	// nodes change, so the certificates do not contain them.
	Name string
}

func (f Files) configured() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// FileError reports a certificate file that can't be used.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return "certificate file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *FileError) Unwrap() error { return e.Err }

// mutualTLS implements mutual TLS with certificate files that may change. Each
// handshake uses the latest files that could be loaded.
type mutualTLS struct {
	files Files
	log   zerolog.Logger

	mu          sync.Mutex
	lastChecked time.Time
	stamps      [3]fileStamp
	current     *tls.Config
}

// fileStamp identifies a version of a file, to detect changes.
type fileStamp struct {
	modTime time.Time
	size    int64
}

func newMutualTLS(f Files, log zerolog.Logger) (*mutualTLS, error) {
	m := &mutualTLS{files: f, log: log}
	if f.Name == "" {
		return nil, eris.New("setting tls.name must not be empty")
	}
	stamps, err := f.stamps()
	if err == nil {
		m.current, err = f.load()
	}
	if err != nil {
		return nil, err
	}
	m.stamps, m.lastChecked = stamps, time.Now()
	return m, nil
}

func (f Files) stamps() (out [3]fileStamp, err error) {
	for n, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return out, &FileError{File: name, Err: err}
		}
		out[n] = fileStamp{modTime: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

// load reads the files. The configuration is used on both sides of a link.
func (f Files) load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &FileError{File: f.Cert, Err: err}
	}
	text, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &FileError{File: f.CA, Err: err}
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return nil, &FileError{File: f.CA, Err: eris.New("no PEM certificate found")}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   f.Name,
		VerifyConnection: func(s tls.ConnectionState) error {
			// The tls package verifies the name of servers only, not of clients.
			return s.PeerCertificates[0].VerifyHostname(f.Name)
		},
	}, nil
}

// config returns the latest configuration that could be loaded.
func (m *mutualTLS) config() *tls.Config {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.lastChecked) < checkInterval {
		return m.current
	}
	m.lastChecked = now
	stamps, err := m.files.stamps()
	if err == nil && stamps == m.stamps {
		return m.current
	}
	var next *tls.Config
	if err == nil {
		next, err = m.files.load()
	}
	if err != nil {
		m.log.Warn().Err(err).Msg("can't load changed certificate, keeping the previous one")
		return m.current
	}
	m.stamps, m.current = stamps, next
	m.log.Info().Msg("certificate renewed")
	return m.current
}

// ClientHandshake performs the TLS handshake on a connection to a peer.
func (m *mutualTLS) ClientHandshake(ctx context.Context, _ string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(m.config()).ClientHandshake(ctx, m.files.Name, conn)
}

// ServerHandshake performs the TLS handshake on a connection from a peer.
func (m *mutualTLS) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(m.config()).ServerHandshake(conn)
}

// Info returns the security protocol.
func (m *mutualTLS) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone returns m itself, so that all users share the loaded files.
func (m *mutualTLS) Clone() credentials.TransportCredentials { return m }

// OverrideServerName does nothing: the name comes from the settings.
func (m *mutualTLS) OverrideServerName(string) error { return nil }
