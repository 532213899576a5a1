package placement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// shard is the state of one pool in a Service. Its lock protects the client and
// the broker of this pool only.
type shard struct {
	service   *Service
	name      string
	needsTick atomic.Bool // has requests, so that ticks must not skip it

	mu        sync.Mutex
	tables    *table.Tables
	pool      table.Pool
	instances *[]Instance
	limits    Limits
	observer  Observer
	client    *Client
	broker    *Broker
	answers   map[uint64]chan<- Decision
}

func newShard(s *Service, pool table.Pool) *shard {
	sh := &shard{service: s, name: pool.Name, answers: map[uint64]chan<- Decision{}}
	if s.config.Limits != nil {
		sh.limits, sh.observer = s.config.Limits(pool)
	}
	sh.client = NewClient(ClientSettings{
		Self:   Instance{s.transport.Self(), s.config.Region, s.config.FailureDomain},
		Limits: sh.limits, BrokerTimeout: s.config.BrokerTimeout, Seed: s.config.Seed})
	return sh
}

// withState locks the shard, refreshes its state, runs f, and sends the resulting
// messages and decisions.
func (sh *shard) withState(f func(now time.Time)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	now := time.Now()
	sh.refresh(now)
	f(now)
	sh.flush(now)
}

// refresh applies changed tables and instances, so that no decision uses outdated ones.
func (sh *shard) refresh(now time.Time) {
	// A change of the platform's list of upstreams replaces the tables without a new
	// revision, so the pointers are compared.
	if t := sh.service.config.Tables(); t != sh.tables {
		sh.tables = t
		row, ok := t.Pools[sh.name]
		if !ok {
			// A deleted pool keeps its name, has no upstreams and refuses requests.
			row = table.Pool{Name: sh.name, Slots: sh.pool.Slots}
		}
		sh.pool = row
		sh.client.SetPool(row)
		if sh.broker != nil {
			sh.broker.SetPool(now, row)
		}
	}
	if live := sh.service.instances.Load(); live != sh.instances {
		sh.instances = live
		sh.updateBroker(now, *live)
	}
}

// updateBroker starts or stops the broker of this shard according to the live
// instances and passes them to the broker and the client.
func (sh *shard) updateBroker(now time.Time, live []Instance) {
	c, self := &sh.service.config, sh.service.transport.Self()
	holder, _ := BrokerOf(sh.name, c.FailureDomain, live)
	switch {
	case holder != self:
		sh.broker = nil
	case sh.broker == nil:
		sh.broker = NewBroker(now, BrokerSettings{Self: self, Region: c.Region, FailureDomain: c.FailureDomain,
			Limits: sh.limits, Observer: sh.observer, Queue: c.Queue, ReportTimeout: DefaultReportTimeout, Overlap: c.Overlap, Seed: c.Seed})
		sh.broker.SetPool(now, sh.pool)
		sh.service.log.V(1).Info("became the slot broker", "pool", sh.name, "failure_domain", c.FailureDomain)
	}
	if sh.broker != nil {
		sh.broker.SetInstances(now, live)
	}
	sh.client.SetInstances(now, live)
}

// flush delivers messages between the client and the broker of this instance, sends
// messages to other instances, and delivers decisions to waiting callers. It
// repeats until no output is left.
func (sh *shard) flush(now time.Time) {
	self := sh.service.transport.Self()
	for {
		sends, decisions := sh.client.Take()
		if sh.broker != nil {
			sends = append(sends, sh.broker.Take()...)
		}
		if len(sends)+len(decisions) == 0 {
			return
		}
		for _, m := range sends {
			if m.To == self {
				sh.dispatch(now, self, m.Message)
			} else {
				sh.service.send(m)
			}
		}
		for _, d := range decisions {
			if answer := sh.answers[d.ID]; answer != nil {
				delete(sh.answers, d.ID)
				answer <- d
			}
		}
	}
}

func (sh *shard) dispatch(now time.Time, from peer.InstanceID, m *peerpb.PlacementMessage) {
	switch {
	case !ForBroker(m):
		sh.client.Receive(now, from, m)
	case sh.broker != nil && m.FailureDomain == sh.service.config.FailureDomain:
		sh.needsTick.Store(true)
		sh.broker.Receive(now, from, m)
	case sh.broker != nil && m.GetStatus() != nil:
		sh.broker.Receive(now, from, m)
	}
}

func (sh *shard) acquire(r Request, answer chan<- Decision) (id uint64) {
	sh.withState(func(now time.Time) {
		sh.needsTick.Store(true)
		id = sh.client.Acquire(now, r)
		sh.answers[id] = answer
	})
	return id
}

// permit converts a decision to the result of Acquire.
func (sh *shard) permit(d Decision) (Permit, error) {
	if d.Err != nil {
		return nil, d.Err
	}
	return &brokerPermit{shard: sh, decision: d}, nil
}

// cancel withdraws a request; a permit that was granted at the same time is returned.
func (sh *shard) cancel(id uint64, answer <-chan Decision) {
	sh.withState(func(now time.Time) {
		delete(sh.answers, id)
		sh.client.Cancel(id)
		select {
		case d := <-answer:
			sh.client.Done(now, d.Permit, Outcome{Result: Canceled})
		default:
		}
	})
}

func (sh *shard) receive(from peer.InstanceID, m *peerpb.PlacementMessage) {
	sh.withState(func(now time.Time) { sh.dispatch(now, from, m) })
}

func (sh *shard) deliveryFailed(to peer.InstanceID) {
	sh.withState(func(now time.Time) { sh.client.Failed(now, to) })
}

func (sh *shard) tick() {
	sh.withState(func(now time.Time) {
		sh.client.Tick(now)
		if sh.broker != nil {
			sh.broker.Tick(now)
		}
		sh.needsTick.Store(!sh.client.Idle() || sh.broker != nil && !sh.broker.Idle())
	})
}

// brokerPermit is a Permit issued by a Service.
type brokerPermit struct {
	shard    *shard
	decision Decision
	once     sync.Once
}

var _ Permit = (*brokerPermit)(nil)

// Upstream implements Permit.
func (p *brokerPermit) Upstream() table.Upstream { return p.decision.Upstream }

// Relay implements Permit.
func (p *brokerPermit) Relay() (peer.InstanceID, bool) {
	return p.decision.Relay, p.decision.Relay != ""
}

// Done implements Permit.
func (p *brokerPermit) Done(o Outcome) {
	if p.decision.Relay != "" {
		return
	}
	p.once.Do(func() {
		p.shard.withState(func(now time.Time) { p.shard.client.Done(now, p.decision.Permit, o) })
	})
}

// Idle reports whether there are no permits and no waiting requests.
func (b *Broker) Idle() bool {
	return len(b.permits)+b.queue.Len() == 0
}
