package view

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// Members is the member list; pkg/membership implements it. An instance that is suspect
// or gone is not in the list.
type Members interface {
	// Live returns the live instances of all regions.
	Live() []Instance
}

// Authority reports whether this instance may act in a role. A role holder checks it before each action.
type Authority interface {
	// Authority returns the epoch of this region's view and whether this instance
	// holds authority in that epoch at now. Authority that is held ends before any later
	// view of the region can open.
	Authority(now time.Time) (epoch uint64, held bool)
	// Current returns the latest known view of a region.
	Current(region string) (View, bool)
	// OpenedAt returns the epoch in which this instance is a loaded member and the
	// time at which it finished loading; ok is false while it is not a loaded member.
	OpenedAt() (epoch uint64, at time.Time, ok bool)
}

// RecordStore holds the records that members of a view keep; pkg/idempotency implements it.
// Its methods return quickly and are safe for concurrent use.
type RecordStore interface {
	// Seal prevents any further grant in epoch and in earlier epochs.
	Seal(epoch uint64)
	// Open permits grants in epoch. It is called after all records have been imported.
	Open(epoch uint64)
	// Export returns a chunk of the records, starting at cursor 0; next is 0 after the last chunk.
	Export(now time.Time, cursor uint64) (chunk []byte, next uint64)
	// Import merges a chunk that another member exported.
	Import(now time.Time, chunk []byte) error
}

// Timing holds the durations of the protocol. All instances must use the same lease.
type Timing struct {
	// Lease is how long a confirmation of authority is valid. The confirming member and the
	// holder of the authority each measure it on their own clock.
	Lease time.Duration
	// RenewInterval is the interval at which this instance requests confirmation of its authority.
	RenewInterval time.Duration
	// SyncInterval is the interval at which views are compared with one random peer.
	SyncInterval time.Duration
	// SettleTime is how long the member list and the view must differ before the view is changed.
	SettleTime time.Duration
	// CallTimeout limits one call to a peer.
	CallTimeout time.Duration
	// StorePollInterval is the interval at which members read the view of their region from the store.
	StorePollInterval time.Duration
}

// DefaultTiming returns the timing used in production.
func DefaultTiming() Timing {
	return Timing{
		Lease: 2 * time.Second, RenewInterval: 500 * time.Millisecond, SyncInterval: time.Second,
		SettleTime: time.Second, CallTimeout: 500 * time.Millisecond, StorePollInterval: 5 * time.Second,
	}
}

// driftPercent is the allowed difference between the rates of two clocks. A confirming
// member extends the lease by this percentage, and the holder of the authority shortens it.
const driftPercent = 1

func plusDrift(d time.Duration) time.Duration  { return d + d*driftPercent/100 }
func minusDrift(d time.Duration) time.Duration { return d - d*driftPercent/100 }

// Allocator reports whether self is the allocator of key and holds authority at now.
func Allocator(a Authority, region, key string, self peer.InstanceID, now time.Time) bool {
	v, ok := a.Current(region)
	epoch, held := a.Authority(now)
	return ok && held && epoch == v.Epoch && v.Allocator(key) == self
}
