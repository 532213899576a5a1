package tlsconf_test

import (
	"crypto/tls"
	"io"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/tlsconf"
	"github.com/turmericsail/turmericsail/internal/tlsconf/tlstest"
)

// handshake connects two configurations and returns the server's certificate name.
// The client reads a byte, because in TLS 1.3 a rejection by the server is reported only by
// the first read.
func handshake(server, client *tls.Config) (string, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return "", err
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Write([]byte("x"))
			_ = c.Close()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return "", err
	}
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Guards against accepting instances with a certificate of another authority, and peers
// without a certificate.
func TestMutualAuthentication(t *testing.T) {
	is := is.New(t)
	authority := tlstest.NewAuthority(t)
	server, err := tlsconf.Server(authority.Write(t, t.TempDir(), "one"), tlsconf.Mutual)
	is.NoErr(err)
	trusted, err := tlsconf.Client(authority.Write(t, t.TempDir(), "two"))
	is.NoErr(err)
	untrusted, err := tlsconf.Client(tlstest.Files(t, "untrusted"))
	is.NoErr(err)
	name, err := handshake(server, trusted)
	is.NoErr(err)
	is.Equal(name, "one")
	_, err = handshake(server, untrusted)
	is.True(err != nil)
	_, err = handshake(server, &tls.Config{InsecureSkipVerify: true})
	is.True(err != nil) // no client certificate
}

// Guards against a replaced certificate that takes effect only after a restart, and against
// an invalid file that makes the listener fail.
func TestCertificatesAreReadAgain(t *testing.T) {
	is := is.New(t)
	authority, dir := tlstest.NewAuthority(t), t.TempDir()
	files := authority.Write(t, dir, "old")
	server, err := tlsconf.Server(files, tlsconf.ServerOnly)
	is.NoErr(err)
	unverified := &tls.Config{InsecureSkipVerify: true}
	name, err := handshake(server, unverified)
	is.NoErr(err)
	is.Equal(name, "old")
	is.NoErr(os.WriteFile(files.Key, []byte("broken"), 0o600))
	time.Sleep(1100 * time.Millisecond) // the files are checked once a second
	name, err = handshake(server, unverified)
	is.NoErr(err)
	is.Equal(name, "old")
	authority.Write(t, dir, "new")
	time.Sleep(1100 * time.Millisecond)
	name, err = handshake(server, unverified)
	is.NoErr(err)
	is.Equal(name, "new")
}
