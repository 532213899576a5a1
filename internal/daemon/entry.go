package daemon

import (
	"context"
	"net"
	"time"

	"github.com/turmericsail/turmericsail/internal/entry"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/quarantine"
)

// entryServer is the HTTP data path with its adapters to the coordination packages.
type entryServer struct {
	base
	*entry.Entry
	quarantine *quarantineService
	transport  peer.Transport
}

var (
	_ kernel.Provisioner = (*entryServer)(nil)
	_ kernel.Runner      = (*entryServer)(nil)
	_ kernel.Stopper     = (*entryServer)(nil)
)

// Provision implements kernel.Provisioner.
func (c *entryServer) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	live, err := kernel.Lookup[*members](k, MembershipTracker)
	if err != nil {
		return err
	}
	records, err := kernel.Lookup[*coordinator](k, OnceCoordinator)
	if err != nil {
		return err
	}
	l, err := kernel.Lookup[*limits](k, QuotaAllocator)
	if err != nil {
		return err
	}
	p, err := kernel.Lookup[*placer](k, PlacementPolicy)
	if err != nil {
		return err
	}
	settings := quarantine.DefaultSettings()
	settings.Key = c.cfg.QuarantineKey
	service, err := quarantine.NewService(quarantine.Config{Transport: transport, InstancesIn: live.otherIDsIn, Settings: settings, Log: c.log})
	if err != nil {
		return err
	}
	c.quarantine = &quarantineService{Service: service, limits: l}
	extra := &budgets{pools: map[budgetKey]*poolBudgets{}}
	c.Entry = entry.New(c.cfg, l.loop, entry.Ports{
		Placement: entryPlacement{p}, Claims: &claims{records.Coordinator, c.cfg.Regions}, Quarantine: c.quarantine,
		Retries: extra, Hedger: extra, Relay: &relay{transport, live}, Observers: []entry.Observer{l, extra, c.quarantine},
	}, c.log)
	c.transport = transport
	transport.HandleStream(relayService, func(_ peer.InstanceID, conn net.Conn) { c.ServeRelayed(conn) })
	return nil
}

// Run implements kernel.Runner.
func (c *entryServer) Run(ctx context.Context) error {
	go func() { _ = c.quarantine.Run(ctx) }()
	return c.Entry.Run(ctx)
}

// Shutdown implements kernel.Stopper. Streams of relayed requests are refused first, so that these go to other instances.
func (c *entryServer) Shutdown(ctx context.Context) error {
	c.transport.HandleStream(relayService, nil)
	return c.Entry.Shutdown(ctx)
}

// leaveNotifier is shut down first. It announces that the instance is leaving, and keeps
// the listeners open until the platform's balancer has had time to notice it.
type leaveNotifier struct {
	base
	members *members
	admin   *adminServer
	entry   *entryServer
}

var (
	_ kernel.Provisioner = (*leaveNotifier)(nil)
	_ kernel.Stopper     = (*leaveNotifier)(nil)
)

// Provision implements kernel.Provisioner.
func (l *leaveNotifier) Provision(k *kernel.Kernel) (err error) {
	if l.members, err = kernel.Lookup[*members](k, MembershipTracker); err != nil {
		return err
	}
	if l.admin, err = kernel.Lookup[*adminServer](k, AdminHTTP); err != nil {
		return err
	}
	if l.entry, err = kernel.Lookup[*entryServer](k, EntryHTTP); err != nil {
		return err
	}
	l.admin.SetCallers(l.entry.CallerUse)
	return nil
}

// Shutdown implements kernel.Stopper.
func (l *leaveNotifier) Shutdown(ctx context.Context) error {
	l.admin.SetLeaving()
	l.entry.SetLeaving()
	if grace := l.cfg.Shutdown.Grace.Std(); grace > 0 {
		l.entry.SetEnd(time.Now().Add(grace))
	}
	if err := l.members.Leave(ctx); err != nil {
		l.log.Info("telling the other instances that this one is leaving failed", "error", err.Error())
	}
	pause.For(ctx, l.cfg.Shutdown.Notice.Std())
	return nil
}

const (
	// handoverTimeout bounds the wait of a leaving member for a view without it, which needs
	// the store. After the time-out its records are still available on the other members.
	handoverTimeout = 5 * time.Second
	// handoverPollInterval is the time between checks of the current view.
	handoverPollInterval = 50 * time.Millisecond
)

// handover is shut down after the entry. It waits until a new view has taken over the
// records, so that the remaining members still tolerate the loss of one of them.
type handover struct {
	base
	views   *views
	members *members
	self    peer.InstanceID
}

var (
	_ kernel.Provisioner = (*handover)(nil)
	_ kernel.Stopper     = (*handover)(nil)
)

// Provision implements kernel.Provisioner.
func (h *handover) Provision(k *kernel.Kernel) (err error) {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	h.self = transport.Self()
	if h.members, err = kernel.Lookup[*members](k, MembershipTracker); err != nil {
		return err
	}
	h.views, err = kernel.Lookup[*views](k, ViewManager)
	return err
}

// Shutdown implements kernel.Stopper.
func (h *handover) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for {
		if len(h.members.otherIDsIn([]string{h.cfg.Region})) == 0 { // no other instance can take over
			return nil
		}
		v, ok := h.views.Current(h.cfg.Region)
		if !ok || !v.Has(h.self) && len(v.Predecessors) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			h.log.Info("left before another instance took over the records; the remaining members have them")
			return nil
		case <-time.After(handoverPollInterval):
		}
	}
}
