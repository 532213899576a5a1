package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Names of the peer services.
const (
	heartbeatService = "membership.heartbeat"
	deltaService     = "membership.delta"
	probeService     = "membership.probe"
)

const (
	// eventQueue is the capacity of the queue of events for the goroutine that owns the machine.
	eventQueue = 256
	// storeTimeout is the timeout of one store call.
	storeTimeout = 5 * time.Second
	// deltaTimeout leaves time for a full member table to be sent within the control byte budget.
	deltaTimeout = 5 * time.Second
	// registerInterval is the interval of registration in the platform's list, which may lose entries.
	registerInterval = time.Minute
)

// Sources holds the store interfaces that a Tracker uses. Each may be nil.
type Sources struct {
	Leases      store.Leases
	LeaseLister store.LeaseLister
	Lister      store.Lister
	Registrar   store.Registrar
}

// dialer is a transport that can connect to an instance by address, without its ID.
type dialer interface {
	Dial(ctx context.Context, address string) (peer.InstanceID, error)
}

// machineEvent is a change to the machine, run by the goroutine that owns it.
type machineEvent func(m *Machine, now Instant) []Action

// Tracker runs the Machine of this instance: it executes the machine's actions and
// publishes its views. A single goroutine owns the machine.
type Tracker struct {
	settings   Settings
	transport  peer.Transport
	sources    Sources
	log        logr.Logger
	clock      func() Instant
	machine    *Machine
	events     chan machineEvent
	done       chan struct{} // closed when Run returns
	view       atomic.Pointer[View]
	changed    atomic.Pointer[chan struct{}]
	lease      leaseKeeper
	goroutines sync.WaitGroup
}

// New returns a tracker. It registers its services with the transport and must
// therefore be called before the transport runs.
func New(s Settings, transport peer.Transport, sources Sources, log logr.Logger) (*Tracker, error) {
	s = s.withDefaults()
	if err := s.validate(transport.Self()); err != nil {
		return nil, err
	}
	t := &Tracker{
		settings: s, transport: transport, sources: sources, log: log,
		clock: systemClock(), events: make(chan machineEvent, eventQueue), done: make(chan struct{}),
	}
	t.machine = NewMachine(transport.Self(), s, rand.Uint64(), t.clock())
	changed := make(chan struct{})
	t.changed.Store(&changed)
	t.view.Store(t.machine.View())
	t.lease = leaseKeeper{leases: sources.Leases, name: LeasePrefix + string(transport.Self()), ttl: s.Lease.Std()}
	transport.Handle(heartbeatService, t.handleHeartbeat)
	transport.Handle(deltaService, t.handleDelta)
	transport.Handle(probeService, t.handleProbe)
	return t, nil
}

// systemClock returns a function that reads both clocks. Round(0) strips the monotonic reading from the wall clock.
func systemClock() func() Instant {
	start := time.Now()
	return func() Instant {
		now := time.Now()
		return Instant{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}

// View returns the current view.
func (t *Tracker) View() *View { return t.view.Load() }

// Changed returns a channel that is closed on the next change of the members,
// their states or the readiness.
func (t *Tracker) Changed() <-chan struct{} { return *t.changed.Load() }

// Holds reports whether this instance is currently among the n holders of a role. It
// reads the clocks, so it returns false right after a pause of the process.
func (t *Tracker) Holds(key string, scope Scope, n int) bool {
	return t.View().HoldsAt(t.clock(), key, scope, n)
}

// Address returns the address of an instance's peer listener, for the transport's resolver.
func (t *Tracker) Address(id peer.InstanceID) (string, bool) {
	m, ok := t.View().Lookup(id)
	return m.Address, ok && m.Address != ""
}

// Leave announces that this instance is leaving.
func (t *Tracker) Leave(ctx context.Context) error {
	t.register(ctx, true)
	return t.post(ctx, func(m *Machine, now Instant) []Action { m.Leave(now); return nil })
}

// Run maintains the membership until ctx ends and then announces that this instance is gone.
func (t *Tracker) Run(ctx context.Context) error {
	defer close(t.done)
	work, cancel := context.WithCancel(ctx)
	defer t.goroutines.Wait()
	defer cancel()
	t.goroutines.Go(func() { t.keepRegistered(work) })
	ticker := time.NewTicker(t.settings.Tick.Std())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.end(ctx)
			return nil
		case <-ticker.C:
			t.apply(work, func(m *Machine, now Instant) []Action { return m.Tick(now) })
		case e := <-t.events:
			t.apply(work, e)
		}
	}
}

// apply applies one event to the machine, publishes the view and starts the requested actions.
func (t *Tracker) apply(ctx context.Context, e machineEvent) {
	actions := e(t.machine, t.clock())
	before, after := t.view.Load(), t.machine.View()
	t.view.Store(after)
	if after.Sequence != before.Sequence {
		next := make(chan struct{})
		close(*t.changed.Swap(&next))
	}
	for _, a := range actions {
		t.goroutines.Go(func() { t.perform(ctx, a) })
	}
}

// end announces to the neighbours that this instance is gone, releases its lease and removes its list entry.
func (t *Tracker) end(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.settings.HeartbeatTimeout.Std())
	defer cancel()
	var sends sync.WaitGroup
	for _, a := range t.machine.End(t.clock()) {
		sends.Go(func() { t.perform(ctx, a) })
	}
	sends.Go(func() { t.lease.release(ctx) })
	if t.sources.Registrar != nil {
		sends.Go(func() { _ = t.sources.Registrar.Deregister(ctx, t.listEntry(true)) })
	}
	t.view.Store(t.machine.View())
	sends.Wait()
}

// post queues an event for the owner of the machine, waiting while the queue is full.
func (t *Tracker) post(ctx context.Context, e machineEvent) error {
	select {
	case t.events <- e:
		return nil
	case <-t.done:
		return errEnded
	case <-ctx.Done():
		return fault.Wrap(fault.Unavailable, ctx.Err(), "membership did not accept the event in time", "try again later")
	}
}

var errEnded = fault.New(fault.Unavailable, "this instance has ended", "use another instance")

// postAndWait queues an event for the owner of the machine and waits for its result.
func postAndWait[T any](ctx context.Context, t *Tracker, f func(m *Machine, now Instant) T) (T, error) {
	result := make(chan T, 1)
	err := t.post(ctx, func(m *Machine, now Instant) []Action { result <- f(m, now); return nil })
	if err != nil {
		var zero T
		return zero, err
	}
	select {
	case r := <-result:
		return r, nil
	case <-t.done:
		var zero T
		return zero, errEnded
	case <-ctx.Done():
		var zero T
		return zero, fault.Wrap(fault.Unavailable, ctx.Err(), "membership gave no answer in time", "try again later")
	}
}

func (t *Tracker) handleHeartbeat(ctx context.Context, from peer.InstanceID, request []byte) (proto.Message, error) {
	var h peerpb.Heartbeat
	if err := decode(request, &h); err != nil {
		return nil, err
	}
	return postAndWait(ctx, t, func(m *Machine, now Instant) *peerpb.Heartbeat { return m.HandleHeartbeat(now, from, &h) })
}

func (t *Tracker) handleDelta(ctx context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
	var d peerpb.MembershipDelta
	if err := decode(request, &d); err != nil {
		return nil, err
	}
	return postAndWait(ctx, t, func(m *Machine, now Instant) *peerpb.MembershipDelta { return m.HandleDelta(now, &d) })
}

func (t *Tracker) handleProbe(ctx context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
	var p peerpb.ProbeRequest
	if err := decode(request, &p); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.HeartbeatTimeout.Std())
	defer cancel()
	err := t.transport.Call(ctx, peer.InstanceID(p.Target), heartbeatService, &peerpb.Heartbeat{}, &peerpb.Heartbeat{})
	return &peerpb.ProbeReply{Reached: err == nil}, nil
}

func decode(data []byte, m proto.Message) error {
	if err := proto.Unmarshal(data, m); err != nil {
		return fault.Wrap(fault.Invalid, err, "the message cannot be decoded", "compare the releases of the two instances")
	}
	return nil
}
