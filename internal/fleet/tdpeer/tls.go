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

// Files name the files of a node's certificate.
type Files struct {
	Cert string
	Key  string
	CA   string // The authority that signs nodes' certificates.
	// Name is the name that all nodes' certificates are for. Nodes are
	// reached by addresses that change, so certificates don't name these.
	Name string
}

func (f Files) given() bool { return f.Cert != "" || f.Key != "" || f.CA != "" }

// checkEvery is how often the files are looked at for changes.
const checkEvery = time.Second

// FileError is a file of a certificate that can't be used.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return "certificate file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// mutual are credentials for mutual TLS from files that may change. Each
// handshake uses the newest files that were in order.
type mutual struct {
	files Files
	log   zerolog.Logger

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	current *tls.Config
}

// stamp tells whether a file has changed.
type stamp struct {
	at   time.Time
	size int64
}

func newMutual(f Files, log zerolog.Logger) (*mutual, error) {
	m := &mutual{files: f, log: log}
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
	m.stamps, m.checked = stamps, time.Now()
	return m, nil
}

func (f Files) stamps() (out [3]stamp, err error) {
	for n, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return out, &FileError{File: name, Err: err}
		}
		out[n] = stamp{at: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

// load reads the files. The configuration serves both sides of a link.
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
		return nil, &FileError{File: f.CA, Err: eris.New("no certificate in it")}
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   f.Name,
		VerifyConnection: func(s tls.ConnectionState) error {
			// The library checks the server's name only.
			return s.PeerCertificates[0].VerifyHostname(f.Name)
		},
	}, nil
}

// config returns the newest configuration that was in order.
func (m *mutual) config() *tls.Config {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.checked) < checkEvery {
		return m.current
	}
	m.checked = now
	stamps, err := m.files.stamps()
	if err == nil && stamps == m.stamps {
		return m.current
	}
	var next *tls.Config
	if err == nil {
		next, err = m.files.load()
	}
	if err != nil {
		m.log.Warn().Err(err).Msg("changed certificate can't be used; the last one stays")
		return m.current
	}
	m.stamps, m.current = stamps, next
	m.log.Info().Msg("certificate renewed")
	return m.current
}

// ClientHandshake secures a connection to a peer.
func (m *mutual) ClientHandshake(ctx context.Context, _ string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(m.config()).ClientHandshake(ctx, m.files.Name, conn)
}

// ServerHandshake secures a connection from a peer.
func (m *mutual) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(m.config()).ServerHandshake(conn)
}

// Info describes the protocol.
func (m *mutual) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone returns the credentials themselves: they share what was read.
func (m *mutual) Clone() credentials.TransportCredentials { return m }

// OverrideServerName does nothing: the name comes from the settings.
func (m *mutual) OverrideServerName(string) error { return nil }
