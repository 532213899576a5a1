package membership

import (
	"context"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// perform executes one action and posts its outcome to the machine.
func (t *Tracker) perform(ctx context.Context, a Action) {
	switch a := a.(type) {
	case SendHeartbeat:
		t.sendHeartbeat(ctx, a)
	case SendDelta:
		t.sendDelta(ctx, a)
	case SendProbe:
		t.sendProbe(ctx, a)
	case DialSeeds:
		t.dialSeeds(ctx)
	case KeepLease:
		started := t.clock()
		outcome := t.lease.grantOrRenew(ctx)
		_ = t.post(ctx, func(m *Machine, now Instant) []Action { return m.LeaseDone(now, started, outcome) })
	case ReadList:
		t.readList(ctx)
	case ReadLeases:
		t.readLeases(ctx)
	}
}

func (t *Tracker) sendHeartbeat(ctx context.Context, a SendHeartbeat) {
	call, cancel := context.WithTimeout(ctx, t.settings.HeartbeatTimeout.Std())
	defer cancel()
	answer := &peerpb.Heartbeat{}
	if err := t.transport.Call(call, a.To, heartbeatService, a.Message, answer); err != nil {
		answer = nil
	}
	_ = t.post(ctx, func(m *Machine, now Instant) []Action { return m.HeartbeatDone(now, a.To, answer, a.Monitored) })
}

func (t *Tracker) sendDelta(ctx context.Context, a SendDelta) {
	call, cancel := context.WithTimeout(ctx, deltaTimeout)
	defer cancel()
	answer := &peerpb.MembershipDelta{}
	if err := t.transport.Call(call, a.To, deltaService, a.Message, answer); err != nil {
		return
	}
	_ = t.post(ctx, func(m *Machine, now Instant) []Action { return m.DeltaDone(now, a.Sent, a.To, answer) })
}

func (t *Tracker) sendProbe(ctx context.Context, a SendProbe) {
	call, cancel := context.WithTimeout(ctx, t.settings.HeartbeatTimeout.Std()+t.settings.Tick.Std())
	defer cancel()
	reply := &peerpb.ProbeReply{}
	err := t.transport.Call(call, a.Helper, probeService, &peerpb.ProbeRequest{Target: string(a.Target)}, reply)
	reached := err == nil && reply.Reached
	_ = t.post(ctx, func(m *Machine, now Instant) []Action { m.ProbeDone(now, a.Target, reached); return nil })
}

func (t *Tracker) dialSeeds(ctx context.Context) {
	d, ok := t.transport.(dialer)
	if !ok {
		return
	}
	for _, address := range t.settings.Seeds {
		call, cancel := context.WithTimeout(ctx, t.settings.HeartbeatTimeout.Std())
		id, err := d.Dial(call, address)
		cancel()
		if err != nil {
			t.log.V(1).Info("seed not reached", "address", address, "reason", err.Error())
			continue
		}
		_ = t.post(ctx, func(m *Machine, now Instant) []Action { return m.SeedFound(now, id) })
	}
}

func (t *Tracker) readList(ctx context.Context) {
	started := t.clock()
	var rows []store.ListedInstance
	err := errNoSource
	if t.sources.Lister != nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		rows, err = t.sources.Lister.Instances(call, t.settings.Service)
	}
	_ = t.post(ctx, func(m *Machine, now Instant) []Action { m.ListDone(now, started, rows, err); return nil })
}

func (t *Tracker) readLeases(ctx context.Context) {
	if t.sources.LeaseLister == nil {
		return
	}
	started := t.clock()
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	names, err := t.sources.LeaseLister.Leases(call, LeasePrefix)
	_ = t.post(ctx, func(m *Machine, now Instant) []Action { m.LeasesDone(now, started, names, err); return nil })
}

var errNoSource = fault.New(fault.Unavailable, "no source of the instance list is configured", "configure the store")

// keepRegistered registers this instance in the platform's list periodically until ctx ends.
func (t *Tracker) keepRegistered(ctx context.Context) {
	if t.sources.Registrar == nil {
		return
	}
	for {
		pause := registerInterval
		if t.register(ctx, t.View().Self.State != Live) != nil {
			pause = t.settings.ListInterval.Std()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (t *Tracker) register(ctx context.Context, leaving bool) error {
	if t.sources.Registrar == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := t.sources.Registrar.Register(ctx, t.listEntry(leaving))
	if err != nil {
		t.log.Info("failed to register the instance in the list", "reason", err.Error())
	}
	return err
}

func (t *Tracker) listEntry(leaving bool) store.ListedInstance {
	return store.ListedInstance{
		Service: t.settings.Service, ID: string(t.transport.Self()), Address: t.settings.Address,
		Region: t.settings.Region, FailureDomain: t.settings.FailureDomain,
		Admin: t.settings.Admin, Leaving: leaving,
	}
}

// leaseKeeper grants and renews the lease of this instance.
type leaseKeeper struct {
	leases store.Leases
	name   string
	ttl    time.Duration
	mu     sync.Mutex
	id     store.LeaseID
}

// grantOrRenew renews the lease, or requests a new one if there is none.
func (k *leaseKeeper) grantOrRenew(ctx context.Context) LeaseOutcome {
	if k.leases == nil {
		return LeaseUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.id == "" {
		id, err := k.leases.Grant(ctx, k.name, k.ttl)
		if err != nil {
			return LeaseUnavailable
		}
		k.id = id
		return LeaseKept
	}
	err := k.leases.Renew(ctx, k.id)
	switch {
	case fault.Is(err, fault.NotFound):
		k.id = ""
		return LeaseLapsed
	case err != nil:
		return LeaseUnavailable
	}
	return LeaseKept
}

func (k *leaseKeeper) release(ctx context.Context) {
	if k.leases == nil || !k.mu.TryLock() {
		return
	}
	defer k.mu.Unlock()
	if k.id != "" {
		_ = k.leases.Release(ctx, k.id)
	}
}
