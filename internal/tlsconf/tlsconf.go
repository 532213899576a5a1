// Package tlsconf creates TLS configurations that reload their certificates when the
// files change, so that a certificate can be replaced without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Mode selects which sides of a connection must present a certificate.
type Mode int

const (
	// ServerOnly authenticates only the server. It is the mode of the callers' listener.
	ServerOnly Mode = iota
	// Mutual authenticates both sides by the certificate authority in the settings.
	Mutual
)

// checkInterval is the shortest time between checks of the files for changes.
const checkInterval = time.Second

// Server returns the configuration of a listener.
func Server(files settings.TLS, mode Mode) (*tls.Config, error) {
	s, err := newReloader(files, mode)
	if err != nil {
		return nil, err
	}
	base := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	base.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current().certificate, nil }
	if mode == Mutual {
		base.ClientAuth = tls.RequireAndVerifyClientCert
		base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := base.Clone()
			c.GetConfigForClient = nil
			c.ClientCAs = s.current().authorities
			return c, nil
		}
	}
	return base, nil
}

// Client returns the configuration of a connection to a peer. The certificate of the peer
// need not contain the IP address that is dialed, so only its chain to the authority is
// verified. VerifyConnection does this with the authorities that are currently loaded.
func Client(files settings.TLS) (*tls.Config, error) {
	s, err := newReloader(files, Mutual)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain instead
		VerifyConnection:   func(state tls.ConnectionState) error { return verify(state, s.current().authorities) },
	}, nil
}

// Peer returns one configuration for both sides of the connections between
// instances. Authentication is mutual, whichever side dials.
func Peer(files settings.TLS) (*tls.Config, error) {
	server, err := Server(files, Mutual)
	if err != nil {
		return nil, err
	}
	client, err := Client(files)
	if err != nil {
		return nil, err
	}
	server.MinVersion, server.NextProtos = tls.VersionTLS13, nil
	server.GetClientCertificate = client.GetClientCertificate
	server.InsecureSkipVerify, server.VerifyConnection = true, client.VerifyConnection
	return server, nil
}

func verify(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return fault.New(fault.Refused, "the peer presented no certificate", "give every instance a certificate of the authority")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fault.Wrap(fault.Refused, err, "the peer's certificate is not accepted", "sign it by the authority in the settings, for server and client use")
	}
	return nil
}

// credentials are the certificate and the authorities from the last successful read of the files.
type credentials struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// reloader reads the files again when one of them changed. If a file is invalid, the
// earlier credentials stay in use.
type reloader struct {
	files settings.TLS
	mode  Mode

	mu      sync.Mutex
	loaded  credentials
	stamp   string
	checked time.Time
}

func newReloader(files settings.TLS, mode Mode) (*reloader, error) {
	s := &reloader{files: files, mode: mode, checked: time.Now()}
	s.stamp = s.fileStamp()
	var err error
	s.loaded, err = s.read()
	return s, err
}

func (s *reloader) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkInterval {
		return s.loaded
	}
	s.checked = time.Now()
	stamp := s.fileStamp()
	if stamp == s.stamp {
		return s.loaded
	}
	// The stamp is stored only after a successful read: certificate and key are replaced one
	// after the other, so reading is retried until the two match.
	if m, err := s.read(); err == nil {
		s.loaded, s.stamp = m, stamp
	}
	return s.loaded
}

// fileStamp returns a string that changes when a file is replaced or written.
func (s *reloader) fileStamp() string {
	var stamp []byte
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamp = info.ModTime().AppendFormat(stamp, time.RFC3339Nano)
			stamp = append(stamp, byte(info.Size()), byte(info.Size()>>8), byte(info.Size()>>16))
		}
		stamp = append(stamp, '|')
	}
	return string(stamp)
}

func (s *reloader) read() (credentials, error) {
	pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return credentials{}, fault.Wrap(fault.Invalid, err, "the certificate or its key cannot be used", "name matching PEM files")
	}
	m := credentials{certificate: &pair}
	if s.mode != Mutual {
		return m, nil
	}
	data, err := os.ReadFile(s.files.CA)
	if err != nil {
		return m, fault.Wrap(fault.Invalid, err, "the file of certificate authorities cannot be read", "name a readable PEM file")
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(data) {
		return m, fault.New(fault.Invalid, "the file of certificate authorities contains no certificate", "name a PEM file with certificates")
	}
	return m, nil
}
