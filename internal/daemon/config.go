package daemon

import (
	"context"
	"time"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/internal/discovery"
	"github.com/turmericsail/turmericsail/pkg/configsync"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// platformStore is the client of the platform's store.
type platformStore struct {
	base
	*consulkv.Client
}

var (
	_ kernel.Provisioner = (*platformStore)(nil)
	_ storeClient        = (*platformStore)(nil)
)

// watchWait is the time after which the store ends a watch without a change. It must be
// less than the WatchTimeout of configsync.Settings, which would abort the watch before.
const watchWait = 5 * time.Second

// Provision implements kernel.Provisioner.
func (s *platformStore) Provision(*kernel.Kernel) (err error) {
	s.Client, err = consulkv.New(consulkv.Config{Address: s.cfg.Store.Address, Timeout: s.cfg.Store.Timeout.Std(), WatchWait: watchWait})
	return err
}

// syncer gets the tables from the store and the other instances.
type syncer struct {
	base
	*configsync.Syncer
}

var (
	_ kernel.Provisioner = (*syncer)(nil)
	_ kernel.Runner      = (*syncer)(nil)
	_ control.Source     = (*syncer)(nil)
)

// Provision implements kernel.Provisioner.
func (s *syncer) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	live, err := kernel.Lookup[configsync.Members](k, MembershipTracker)
	if err != nil {
		return err
	}
	kv, err := kernel.Lookup[store.KV](k, StoreKV)
	if err != nil {
		return err
	}
	s.Syncer = configsync.New(configsync.Settings{}, transport, live, kv, s.log)
	return nil
}

// Problems implements control.Source.
func (s *syncer) Problems() table.Problems { return s.Status().Problems }

// loop maintains the control state of the instance.
type loop struct {
	base
	*control.Loop
	reader *discovery.Reader
}

var (
	_ kernel.Provisioner = (*loop)(nil)
	_ kernel.Runner      = (*loop)(nil)
)

// Provision implements kernel.Provisioner.
func (l *loop) Provision(k *kernel.Kernel) error {
	kv, err := kernel.Lookup[store.Lister](k, StoreKV)
	if err != nil {
		return err
	}
	source, err := kernel.Lookup[control.Source](k, ConfigSync)
	if err != nil {
		return err
	}
	live, err := kernel.Lookup[control.Members](k, MembershipTracker)
	if err != nil {
		return err
	}
	l.reader = discovery.New(kv, l.log)
	l.Loop = control.New(source, live, l.reader, l.log)
	return nil
}

// Run implements kernel.Runner.
func (l *loop) Run(ctx context.Context) error {
	go func() { _ = l.reader.Run(ctx) }()
	return l.Loop.Run(ctx)
}

// adminServer is the admin listener.
type adminServer struct {
	base
	*admin.Server
}

var (
	_ kernel.Provisioner = (*adminServer)(nil)
	_ kernel.Runner      = (*adminServer)(nil)
)

// Provision implements kernel.Provisioner.
func (o *adminServer) Provision(k *kernel.Kernel) error {
	loop, err := kernel.Lookup[*loop](k, ControlLoop)
	if err != nil {
		return err
	}
	l, err := kernel.Lookup[*limits](k, QuotaAllocator)
	if err != nil {
		return err
	}
	v, err := kernel.Lookup[*views](k, ViewManager)
	if err != nil {
		return err
	}
	data, err := kernel.Lookup[*entryServer](k, EntryHTTP)
	if err != nil {
		return err
	}
	// Without the view of its region an instance gets no unit of a cold upstream, and after
	// its own start it treats every upstream as cold.
	ready := func() bool {
		_, known := v.Current(o.cfg.Region)
		return known && loop.Snapshot().Tables != nil && data.Listening()
	}
	observe := func(pool string, u table.Upstream) (string, int64) {
		return l.stateOf(pool, u), l.inFlightAt(pool, u.ID)
	}
	o.Server = admin.New(o.cfg.Admin, ready, func() any {
		status := admin.StatusOf(o.cfg, loop.Snapshot(), o.Leaving(), observe)
		status.Callers = o.Callers()
		return status
	})
	return nil
}
