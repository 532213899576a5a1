package daemon

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Guards against an instance that has stopped serving and still accepts streams of relayed requests, which it then closes
// without a response.
func TestStoppedInstanceRefusesRelayedStreams(t *testing.T) {
	is := is.New(t)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := reserved.Addr().String()
	is.NoErr(reserved.Close())
	parse := func(name, listen string) settings.Settings {
		cfg, err := settings.Parse(fmt.Appendf(nil, `{"instance":%q,"region":"r","regions":["r"],"failure_domain":"f",
			"callers":{"listen":"127.0.0.1:0","plaintext":true},"peers":{"listen":%q,"plaintext":true},
			"admin":{"listen":"127.0.0.1:0"},"store":{"address":"http://127.0.0.1:1"}}`, name, listen))
		is.NoErr(err)
		return cfg
	}
	k, err := New(parse("a", address), logr.Discard())
	is.NoErr(err)
	is.NoErr(k.Provision())
	own, err := kernel.Lookup[*peers](k, PeerTransport)
	is.NoErr(err)
	served, err := kernel.Lookup[*entryServer](k, EntryHTTP)
	is.NoErr(err)
	other, err := PeerSettings(parse("b", "127.0.0.1:0"))
	is.NoErr(err)
	transport, err := peer.New(other, logr.Discard())
	is.NoErr(err)
	transport.SetResolver(func(peer.InstanceID) (string, bool) { return address, true })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, r := range []kernel.Runner{own, transport} {
		go func() { _ = r.Run(ctx) }()
	}
	wait, stop := context.WithTimeout(ctx, 10*time.Second)
	defer stop()
	is.NoErr(served.Shutdown(wait))
	c, err := transport.Open(wait, own.Self(), relayService)
	if err == nil {
		_ = c.Close()
	}
	is.True(fault.Is(err, fault.Unavailable)) // nothing was sent, so the request can go to another instance
}
