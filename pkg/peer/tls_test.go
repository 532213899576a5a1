package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// fleetTLS returns a configuration with one self-signed certificate that every instance uses and trusts.
func fleetTLS(is *is.I) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	is.NoErr(err)
	parsed, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

// Guards against accepting an instance without a certificate of the fleet or under another instance's ID.
func TestMutualTLS(t *testing.T) {
	is := is.New(t)
	cfg := fleetTLS(is)
	secure := func(s *Settings) { s.TLS = cfg }
	addresses := map[InstanceID]string{}
	a := startTransport(t, addresses, "a/1", secure)
	startTransport(t, addresses, "b/1", secure)
	text, err := echo(a, "b/1", "echo")
	is.NoErr(err)
	is.Equal(text, "hello")

	plain := startTransport(t, addresses, "plain/1", nil)
	_, err = echo(plain, "b/1", "echo")
	is.True(err != nil)

	other := startTransport(t, addresses, "other/1", func(s *Settings) {
		s.TLS = fleetTLS(is)
		s.TLS.RootCAs = cfg.RootCAs // trusts the fleet, but is not trusted by it
	})
	_, err = echo(other, "b/1", "echo")
	is.True(err != nil)

	startTransport(t, addresses, "strict/1", func(s *Settings) {
		s.TLS = cfg
		s.VerifyPeer = func(id InstanceID, _ tls.ConnectionState) error {
			return fault.Newf(fault.Refused, "use your own name", "%s is not in the certificate", id)
		}
	})
	_, err = echo(a, "strict/1", "echo")
	is.Equal(fault.KindOf(err), fault.Unavailable)
}

// Guards against incomplete settings and a TLS configuration that does not verify client certificates.
func TestSettingsAreValidated(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	for _, s := range []Settings{
		{ID: "a/1"}, {Listener: l}, {ID: "a", Listener: l}, {ID: "a/1", Listener: l, TLS: &tls.Config{}},
	} {
		_, err := New(s, logr.Discard())
		is.Equal(fault.KindOf(err), fault.Invalid)
	}
}
