package gateway

import (
	"context"
	"net"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/daemon"
	"github.com/turmericsail/turmericsail/internal/follow"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/keepalive"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

const (
	// peerConnect bounds the opening of a connection to another instance: a few round trips between regions.
	peerConnect = 400 * time.Millisecond
	// peerRate is the traffic that an instance may send to others in a second. Only followed changes are
	// sent, which the settling pause bounds already.
	peerRate = 64 << 20
)

// peers is the transport to the other instances, or none without a listener in the settings.
type peers struct {
	cfg settings.Settings
	log logr.Logger
	*peer.TCPTransport
}

var (
	_ kernel.Provisioner = (*peers)(nil)
	_ kernel.Runner      = (*peers)(nil)
)

// Provision implements kernel.Provisioner.
func (p *peers) Provision(*kernel.Kernel) error {
	if p.cfg.Peers.Listen == "" {
		return nil
	}
	s, err := daemon.PeerSettings(p.cfg)
	if err != nil {
		return err
	}
	dialer := &net.Dialer{KeepAliveConfig: keepalive.Config()}
	s.ControlRate, s.ConnectTimeout = peerRate, table.Duration(peerConnect)
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	p.TCPTransport, err = peer.New(s, p.log)
	return err
}

// Run implements kernel.Runner.
func (p *peers) Run(ctx context.Context) error {
	if p.TCPTransport == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.TCPTransport.Run(ctx)
}

// follower follows the platform's store.
type follower struct {
	cfg settings.Settings
	log logr.Logger
	*follow.Follower
}

var (
	_ kernel.Provisioner = (*follower)(nil)
	_ kernel.Runner      = (*follower)(nil)
)

// Provision implements kernel.Provisioner.
func (f *follower) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[*peers](k, PeerTransport)
	if err != nil {
		return err
	}
	client := platform.NewStore(f.cfg.Platform.Store)
	parts := follow.Parts{
		Source: client, Codec: platform.Codec{Regions: f.cfg.Platform.Domains}, Holder: client,
		Self: follow.Self{LinkMbps: f.cfg.Platform.LinkMbps},
	}
	parts.Self.Region = f.cfg.Region
	if p.TCPTransport != nil {
		parts.Peers, parts.Dial, parts.Seeds = p.TCPTransport, p.Dial, f.cfg.Peers.Seeds
		parts.Self.ID, parts.Self.Address = p.Self(), f.cfg.Peers.Advertise
	}
	f.Follower = follow.New(parts, f.log)
	if p.TCPTransport != nil {
		p.SetResolver(f.Address)
	}
	return nil
}
