// Package tlstest creates certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/internal/settings"
)

// Authority is a certificate authority for tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an Authority with a new key and a self-signed certificate that is
// valid for one hour.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	certificate, err := x509.ParseCertificate(der)
	check(t, err)
	return &Authority{certificate, key}
}

// Write issues a certificate for name and writes it, its key and the certificate of the
// authority into dir.
func (a *Authority) Write(t testing.TB, dir, name string) settings.TLS {
	t.Helper()
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	check(t, err)
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	check(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	check(t, err)
	files := settings.TLS{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	write(t, files.Certificate, "CERTIFICATE", der)
	write(t, files.Key, "EC PRIVATE KEY", keyDER)
	write(t, files.CA, "CERTIFICATE", a.certificate.Raw)
	return files
}

// Files issues a certificate of a new authority and writes it, its key and the certificate
// of the authority into a temporary directory.
func Files(t testing.TB, name string) settings.TLS {
	t.Helper()
	return NewAuthority(t).Write(t, t.TempDir(), name)
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	return key
}

func write(t testing.TB, path, kind string, der []byte) {
	check(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
