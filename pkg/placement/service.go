package placement

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/queue"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// ServiceName is the name of the peer service that carries placement messages.
const ServiceName = "placement"

// tickInterval is the time between ticks of pools with requests. It bounds the
// delay in detecting a broker that does not answer.
const tickInterval = 2 * time.Millisecond

// Config are the inputs of a Service.
type Config struct {
	// Region and FailureDomain are the location of this instance.
	Region, FailureDomain string
	// Tables returns the tables in force.
	Tables func() *table.Tables
	// Instances returns the live instances, including this one.
	Instances func() []Instance
	// Limits returns the limits of a pool and the observer of its permits; each may
	// be nil. A nil function means neither for any pool.
	Limits func(pool table.Pool) (Limits, Observer)
	// Queue bounds the waiting requests of a broker; zero means queue.DefaultSettings.
	Queue queue.Settings
	// BrokerTimeout is the time in which a broker must react; zero means DefaultBrokerTimeout.
	BrokerTimeout time.Duration
	// Overlap is passed to the brokers; see BrokerSettings.Overlap.
	Overlap int
	// Seed initializes the random number generators; instances must use different seeds.
	Seed uint64
}

// Service is the "broker" policy. It runs the client of every pool and the brokers
// for which this instance is responsible. Each pool has its own lock.
type Service struct {
	config     Config
	transport  peer.Transport
	log        logr.Logger
	shards     sync.Map // pool name to *shard
	instances  atomic.Pointer[[]Instance]
	sendQueues sync.Map // peer.InstanceID to *sendQueue
	sending    sync.WaitGroup
}

var _ Policy = (*Service)(nil)

// NewService returns a Service and registers its handler with the transport.
func NewService(t peer.Transport, c Config, log logr.Logger) *Service {
	if c.BrokerTimeout == 0 {
		c.BrokerTimeout = DefaultBrokerTimeout
	}
	if c.Queue.Capacity == 0 {
		c.Queue = queue.DefaultSettings()
	}
	s := &Service{config: c, transport: t, log: log}
	live := slices.Clone(c.Instances())
	s.instances.Store(&live)
	t.Handle(ServiceName, s.handle)
	return s
}

// Run processes timeouts, reports and changes of tables and instances until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.sending.Wait()
			return ctx.Err()
		case <-ticker.C:
			s.tick()
		}
	}
}

func (s *Service) tick() {
	instancesChanged := s.updateInstances()
	s.shards.Range(func(_, value any) bool {
		sh := value.(*shard)
		if instancesChanged || sh.needsTick.Load() {
			sh.tick()
		}
		return true
	})
}

func (s *Service) updateInstances() bool {
	live := s.config.Instances()
	if slices.Equal(live, *s.instances.Load()) {
		return false
	}
	live = slices.Clone(live)
	s.instances.Store(&live)
	return true
}

// Acquire implements Policy.
func (s *Service) Acquire(ctx context.Context, r Request) (Permit, error) {
	sh, err := s.shard(r.Pool)
	if err != nil {
		return nil, err
	}
	if d, ok := ctx.Deadline(); ok && (r.Deadline.IsZero() || d.Before(r.Deadline)) {
		r.Deadline = d
	}
	answer := make(chan Decision, 1)
	id := sh.acquire(r, answer)
	select {
	case d := <-answer:
		return sh.permit(d)
	case <-ctx.Done():
		sh.cancel(id, answer)
		return nil, fault.Wrap(fault.Exhausted, ctx.Err(), "the request ended while it waited for a slot", "repeat the request with a later deadline")
	}
}

// shard returns the state of a pool and creates it if the tables contain the pool.
func (s *Service) shard(pool string) (*shard, error) {
	if sh, ok := s.shards.Load(pool); ok {
		return sh.(*shard), nil
	}
	row, ok := s.config.Tables().Pools[pool]
	if !ok {
		return nil, unknownPool(pool)
	}
	sh, _ := s.shards.LoadOrStore(pool, newShard(s, row))
	return sh.(*shard), nil
}

func (s *Service) handle(_ context.Context, from peer.InstanceID, request []byte) (proto.Message, error) {
	var batch peerpb.PlacementBatch
	if err := proto.Unmarshal(request, &batch); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "a placement batch cannot be decoded", "run the same release on both instances")
	}
	for _, m := range batch.Messages {
		sh, err := s.shard(m.Pool)
		if err != nil {
			s.log.V(1).Info("dropped a placement message for an unknown pool", "pool", m.Pool, "from", from)
			continue
		}
		sh.receive(from, m)
	}
	return &peerpb.PlacementReply{}, nil
}

const (
	// callTimeout bounds the delivery of a batch.
	callTimeout = 250 * time.Millisecond
	// maxCalls is the maximum number of concurrent calls to one instance. Messages
	// sent while all calls are in progress are collected into one batch.
	maxCalls = 8
)

// sendQueue collects the messages to one instance.
type sendQueue struct {
	mu       sync.Mutex
	messages []*peerpb.PlacementMessage
	calls    int
}

func (s *Service) send(m OutgoingMessage) {
	value, ok := s.sendQueues.Load(m.To)
	if !ok {
		value, _ = s.sendQueues.LoadOrStore(m.To, &sendQueue{})
	}
	l := value.(*sendQueue)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages = append(l.messages, m.Message)
	if l.calls < maxCalls {
		l.calls++
		s.sending.Go(func() { s.sendBatches(m.To, l) })
	}
}

// sendBatches sends batches until the queue is empty.
func (s *Service) sendBatches(to peer.InstanceID, l *sendQueue) {
	for {
		l.mu.Lock()
		batch := &peerpb.PlacementBatch{Messages: l.messages}
		l.messages = nil
		if len(batch.Messages) == 0 {
			l.calls--
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := s.transport.Call(ctx, to, ServiceName, batch, &peerpb.PlacementReply{})
		cancel()
		if err != nil {
			s.log.V(1).Info("placement messages were not delivered", "to", to, "messages", len(batch.Messages), "error", err.Error())
			s.deliveryFailed(to, batch)
		}
	}
}

// deliveryFailed makes the pools of the messages use their static share. Permits
// whose messages were lost are corrected by the next report.
func (s *Service) deliveryFailed(to peer.InstanceID, batch *peerpb.PlacementBatch) {
	seen := map[string]bool{}
	for _, m := range batch.Messages {
		if seen[m.Pool] || !ForBroker(m) {
			continue
		}
		seen[m.Pool] = true
		if sh, err := s.shard(m.Pool); err == nil {
			sh.deliveryFailed(to)
		}
	}
}
