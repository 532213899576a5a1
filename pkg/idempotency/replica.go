package idempotency

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/view"
)

const (
	// MaxAnswer is the size in bytes of the largest stored answer. A request with a larger
	// answer is recorded as run, without the answer.
	MaxAnswer = 64 << 10
	// DefaultMemory is the default memory limit in bytes for the records of one instance.
	DefaultMemory = 256 << 20
	// shardCount is the number of shards, each with its own lock. It exceeds the number of cores of an instance.
	shardCount = 256
	// sweepInterval is the interval at which expired records are removed.
	sweepInterval = time.Second
)

// Replica stores the records that an instance keeps as a member of its region's view.
type Replica struct {
	region string
	base   time.Time
	memory memory
	shards []shard
	names  interner
}

var _ view.RecordStore = (*Replica)(nil)

// NewReplica returns an empty replica of a region that may use limit bytes; 0 means DefaultMemory.
// When the limit is reached, new claims are refused and new answers are not stored, but
// no record is dropped within its window.
func NewReplica(region string, limit int64, now time.Time) *Replica {
	if limit == 0 {
		limit = DefaultMemory
	}
	return newReplica(region, limit, now, shardCount)
}

func newReplica(region string, limit int64, now time.Time, shards int) *Replica {
	r := &Replica{region: region, base: now, shards: make([]shard, shards)}
	r.memory.limit = limit
	for i := range r.shards {
		s := &r.shards[i]
		s.memory, s.records, s.due = &r.memory, make(map[recordKey]*record), make(map[int64][]recordKey)
	}
	return r
}

// Serve registers the replica's peer services.
func (r *Replica) Serve(t peer.Transport) {
	t.Handle(serviceClaim, func(_ context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
		return r.handleClaim(time.Now(), request)
	})
	t.Handle(serviceComplete, func(_ context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
		return r.handleComplete(time.Now(), request)
	})
	t.Handle(serviceRelease, func(_ context.Context, _ peer.InstanceID, request []byte) (proto.Message, error) {
		return r.handleRelease(time.Now(), request)
	})
}

// Run removes expired records periodically until ctx is done.
func (r *Replica) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			r.Sweep(time.Now())
		}
	}
}

// Sweep removes the records that have expired at now.
func (r *Replica) Sweep(now time.Time) {
	for i := range r.shards {
		r.shards[i].sweep(now.Sub(r.base))
	}
}

// Usage returns the memory used by records and its limit, in bytes.
func (r *Replica) Usage() (used, limit int64) { return r.memory.used.Load(), r.memory.limit }

func (r *Replica) shard(key recordKey) *shard { return &r.shards[int(key[len(key)-1])%len(r.shards)] }

func (r *Replica) claim(now time.Time, m claimMessage) claimReply {
	m.id.claimant = r.names.intern(m.id.claimant)
	return r.shard(m.key).claim(now.Sub(r.base), m)
}

func (r *Replica) end(now time.Time, m endMessage) uint64 {
	m.id.claimant = r.names.intern(m.id.claimant)
	return r.shard(m.key).end(now.Sub(r.base), m)
}

// Seal implements view.RecordStore.
func (r *Replica) Seal(epoch uint64) {
	for i := range r.shards {
		r.shards[i].seal(epoch)
	}
}

// Open implements view.RecordStore.
func (r *Replica) Open(epoch uint64) {
	for i := range r.shards {
		r.shards[i].openEpoch(epoch)
	}
}

// checkRegion refuses records of other regions, which must not be stored here.
func (r *Replica) checkRegion(region string) error {
	if region != r.region {
		return fault.Newf(fault.Refused, "send it to the members of that region's view", "this instance keeps no records of region %q", region)
	}
	return nil
}
