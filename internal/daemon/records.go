package daemon

import (
	"context"
	"time"

	"github.com/turmericsail/turmericsail/pkg/idempotency"
	"github.com/turmericsail/turmericsail/pkg/kernel"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// views manages the views of the regions and this instance's replica of claims.
type views struct {
	base
	*view.Manager
	replica *idempotency.Replica
}

var (
	_ kernel.Provisioner = (*views)(nil)
	_ kernel.Runner      = (*views)(nil)
)

// Provision implements kernel.Provisioner.
func (v *views) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	kv, err := kernel.Lookup[store.KV](k, StoreKV)
	if err != nil {
		return err
	}
	live, err := kernel.Lookup[view.Members](k, MembershipTracker)
	if err != nil {
		return err
	}
	v.replica = idempotency.NewReplica(v.cfg.Region, int64(v.cfg.Limits.RecordBytes), time.Now())
	v.replica.Serve(transport)
	v.Manager, err = view.New(view.Config{
		Region: v.cfg.Region, Transport: transport, Store: kv, Members: live, Records: v.replica, Log: v.log,
	})
	return err
}

// Run implements kernel.Runner.
func (v *views) Run(ctx context.Context) error {
	go func() { _ = v.replica.Run(ctx) }()
	return v.Manager.Run(ctx)
}

// coordinator claims requests for the entry.
type coordinator struct {
	base
	*idempotency.Coordinator
}

var (
	_ kernel.Provisioner = (*coordinator)(nil)
	_ kernel.Stopper     = (*coordinator)(nil)
)

// Provision implements kernel.Provisioner.
func (c *coordinator) Provision(k *kernel.Kernel) error {
	transport, err := kernel.Lookup[peer.Transport](k, PeerTransport)
	if err != nil {
		return err
	}
	v, err := kernel.Lookup[*views](k, ViewManager)
	if err != nil {
		return err
	}
	live, err := kernel.Lookup[view.Members](k, MembershipTracker)
	if err != nil {
		return err
	}
	c.Coordinator, err = idempotency.New(idempotency.Config{
		Region: c.cfg.Region, Transport: transport, Views: v.Manager, Members: live, Replica: v.replica, Log: c.log,
	})
	return err
}
