// Package tdcert issues certificates for tests of mutual TLS between nodes.
//
// # Usage
//
//	a, err := tdcert.New()
//	f, err := a.Issue(dir, "tarragondeal", 7)
//	// f.Cert, f.Key and f.CA are files in dir.
package tdcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// validity is how long before and after its issue a certificate is valid.
const validity = time.Hour

// Authority is a certificate authority with a self-signed certificate.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files are the paths of a certificate, its key and the authority's
// certificate.
type Files struct{ Cert, Key, CA string }

// New returns a new authority.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: now.Add(-validity), NotAfter: now.Add(validity),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, err
}

// Issue issues a certificate for a DNS name and writes its files to dir. It
// overwrites existing ones.
func (a *Authority) Issue(dir, name string, serial int64) (Files, error) {
	f := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	now := time.Now()
	t := &x509.Certificate{
		SerialNumber: big.NewInt(serial), DNSNames: []string{name}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   now.Add(-validity), NotAfter: now.Add(validity),
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return f, err
	}
	for _, w := range []struct {
		path, kind string
		der        []byte
	}{{f.CA, "CERTIFICATE", a.cert.Raw}, {f.Key, "EC PRIVATE KEY", secret}, {f.Cert, "CERTIFICATE", der}} {
		if err := os.WriteFile(w.path, pem.EncodeToMemory(&pem.Block{Type: w.kind, Bytes: w.der}), 0o600); err != nil {
			return f, err
		}
	}
	return f, nil
}
