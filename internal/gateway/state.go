package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/turmericsail/turmericsail/internal/daemon"
	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/internal/follow"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/intake"
	"github.com/turmericsail/turmericsail/pkg/keepalive"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/platform"
)

const (
	// peerConnectTimeout bounds the opening of a connection to another instance: a few round trips between regions.
	peerConnectTimeout = 400 * time.Millisecond
	// peerControlRate bounds the traffic to other instances in bytes per second. Only followed changes are sent,
	// whose rate is already limited by the pause of package follow between batches.
	peerControlRate = 64 << 20
)

// peerService is the transport to the other instances, or none without a listener in the settings.
type peerService struct {
	cfg settings.Settings
	log logr.Logger
	*peer.TCPTransport
}

var (
	_ kernel.Provisioner = (*peerService)(nil)
	_ kernel.Runner      = (*peerService)(nil)
)

// Provision implements kernel.Provisioner.
func (p *peerService) Provision(*kernel.Kernel) error {
	if p.cfg.Peers.Listen == "" {
		return nil
	}
	s, err := daemon.PeerSettings(p.cfg)
	if err != nil {
		return err
	}
	dialer := &net.Dialer{KeepAliveConfig: keepalive.Config()}
	s.ControlRate, s.ConnectTimeout = peerControlRate, table.Duration(peerConnectTimeout)
	s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	p.TCPTransport, err = peer.New(s, p.log)
	return err
}

// Run implements kernel.Runner.
func (p *peerService) Run(ctx context.Context) error {
	if p.TCPTransport == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return p.TCPTransport.Run(ctx)
}

// followService follows the platform's store.
type followService struct {
	cfg settings.Settings
	log logr.Logger
	*follow.Follower
}

var (
	_ kernel.Provisioner = (*followService)(nil)
	_ kernel.Runner      = (*followService)(nil)
)

// Provision implements kernel.Provisioner.
func (f *followService) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[*peerService](k, PeerTransport)
	if err != nil {
		return err
	}
	client := platform.NewStore(f.cfg.Platform.Store)
	options := follow.Options{
		Source: client, Codec: platform.Codec{Regions: f.cfg.Platform.Domains}, Ephemeral: client, Writer: client, Regions: distinct(f.cfg.Regions),
		Self: follow.Self{LinkMbps: f.cfg.Platform.LinkMbps},
	}
	options.Self.Region = f.cfg.Region
	if p.TCPTransport != nil {
		options.Peers, options.Dial, options.Seeds = p.TCPTransport, p.Dial, f.cfg.Peers.Seeds
		options.Self.ID, options.Self.Address = p.Self(), f.cfg.Peers.Advertise
	}
	f.Follower = follow.New(options, f.log)
	if p.TCPTransport != nil {
		p.SetResolver(f.Address)
	}
	return nil
}

// intakeService keeps the request limits that upstreams state.
type intakeService struct {
	*intake.Service
	region string
	log    logr.Logger
	limits *requestLimits // nil for an instance that is alone
}

var (
	_ kernel.Provisioner   = (*intakeService)(nil)
	_ entry.IntakeObserver = (*intakeService)(nil)
	_ sampled.Intake       = (*intakeService)(nil)
)

// Provision implements kernel.Provisioner.
func (s *intakeService) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[*peerService](k, PeerTransport)
	if err != nil {
		return err
	}
	followed, err := kernel.Lookup[*followService](k, ControlFollow)
	if err != nil {
		return err
	}
	if p.TCPTransport == nil {
		s.Service = intake.NewService(nil, intake.Alone{}, s.log)
		return nil
	}
	s.Service = intake.NewService(p.TCPTransport, followed.Follower, s.log)
	s.limits = &requestLimits{service: s.Service, store: followed.Follower, region: s.region}
	return nil
}

// Stated implements entry.IntakeObserver. A failure without a limit does not end one.
func (s *intakeService) Stated(u table.Upstream, i entry.Intake) {
	if i.Leaving {
		s.Leave(u.ID)
	}
	if i.Pause > 0 {
		s.Pause(u.ID, i.Pause)
	}
	if i.Limited || i.Success {
		s.Hear(u.ID, u.Region, intake.Statement{PerSecond: i.PerSecond, Unlimited: !i.Limited, HeardAt: time.Now()})
	}
}

// statedByProbe records what the answer to a probe states. It has no limit: probes are not requests.
func (s *intakeService) statedByProbe(u table.Upstream, i entry.Intake) {
	s.Stated(u, entry.Intake{Leaving: i.Leaving, Pause: i.Pause})
}

// distinct returns the number of different strings in a list.
func distinct(list []string) int {
	list = slices.Clone(list)
	slices.Sort(list)
	return len(slices.Compact(list))
}
