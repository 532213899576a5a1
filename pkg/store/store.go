// Package store defines what turmericsail needs of the platform's key-value
// service: reads, compare-and-swap, watches, leases and the instance list.
//
// Errors are fault kinds. Conflict: another writer was first, nothing changed.
// Unavailable: nothing changed, or nothing was read. OutcomeUnknown: a write may
// have taken effect although its answer was lost; the writer must read back
// before it decides and must never blindly repeat the write.
package store

import (
	"bytes"
	"context"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Entry is one key with its value and the revision of its last change.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// KV is the key-value part of the store.
type KV interface {
	// Get returns the entry of key, or a NotFound fault.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix and the store's revision at the time of reading.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if key's revision is still the given one; 0 means that key must not exist.
	// It returns the new revision when the store tells it, else 0.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (uint64, error)
	// Delete removes key if its revision is still the given one.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch waits until something under prefix changes after the given revision, or until a time-out of
	// the store, and returns the entries and the store's revision.
	Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)
}

// LeaseID names a lease.
type LeaseID string

// Leases is the lease part of the store.
type Leases interface {
	// Grant creates a lease that lapses unless it is renewed within ttl.
	Grant(ctx context.Context, name string, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease; a NotFound fault means that it has lapsed.
	Renew(ctx context.Context, id LeaseID) error
	// Release ends a lease.
	Release(ctx context.Context, id LeaseID) error
}

// LeaseLister reads which leases are in force.
type LeaseLister interface {
	// Leases returns the names of the leases in force that start with prefix.
	Leases(ctx context.Context, prefix string) ([]string, error)
}

// ListedInstance is one row of the platform's lagging list.
type ListedInstance struct {
	// Service is the name of the service that the instance belongs to.
	Service string
	// ID is unique in the list.
	ID string
	// Address is host:port.
	Address string
	// Region is the region of the instance.
	Region string
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// Leaving is set once the instance has announced that it ends.
	Leaving bool
	// Slots is the number of requests that the instance runs at the same time, or 0 where the list does not tell.
	Slots int
	// Born is the Unix millisecond of the instance's start, or 0 where the list does not tell. The same
	// ID with another Born is a new process.
	Born int64
	// Admin is the host:port of the operators' listener of a turmericsail instance, else empty.
	Admin string
}

// ServiceName is the name under which turmericsail instances register in the platform's list.
const ServiceName = "turmericsail"

// Lister reads the platform's list of live and leaving instances of a service.
type Lister interface {
	Instances(ctx context.Context, service string) ([]ListedInstance, error)
}

// Registrar announces this process in the platform's list.
type Registrar interface {
	Register(ctx context.Context, in ListedInstance) error
	Deregister(ctx context.Context, in ListedInstance) error
}

// Put writes value by compare-and-swap and resolves a lost answer by reading
// back. Only when the row still has its old revision is the same write sent
// again; the revision makes sure that one of the two at most takes effect.
// Put returns Conflict when another value is there, and OutcomeUnknown only
// when the store could not be read back before ctx ended.
func Put(ctx context.Context, kv KV, key string, value []byte, revision uint64) (uint64, error) {
	written, err := kv.CompareAndSwap(ctx, key, value, revision)
	lost := false
	for fault.Is(err, fault.OutcomeUnknown) {
		lost = true
		e, readErr := kv.Get(ctx, key)
		absent := fault.Is(readErr, fault.NotFound)
		switch {
		case readErr == nil && bytes.Equal(e.Value, value) && e.Revision > revision:
			return e.Revision, nil
		case readErr == nil && e.Revision == revision, absent && revision == 0:
			written, err = kv.CompareAndSwap(ctx, key, value, revision)
		case readErr == nil || absent:
			return 0, fault.Wrap(fault.Conflict, err, "another edit came first or followed at once", "read the row again and decide")
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(readBackInterval):
		}
	}
	if lost && fault.Is(err, fault.Conflict) {
		// The conflict may be with this call's own earlier write.
		if e, readErr := kv.Get(ctx, key); readErr == nil && bytes.Equal(e.Value, value) && e.Revision > revision {
			return e.Revision, nil
		}
	}
	return written, err
}

// Delete removes a key by compare-and-swap and resolves a lost answer by
// reading back, as Put does. A key that is gone counts as removed.
func Delete(ctx context.Context, kv KV, key string, revision uint64) error {
	err := kv.Delete(ctx, key, revision)
	lost := false
	for fault.Is(err, fault.OutcomeUnknown) {
		lost = true
		e, readErr := kv.Get(ctx, key)
		switch {
		case fault.Is(readErr, fault.NotFound):
			return nil
		case readErr == nil && e.Revision == revision:
			err = kv.Delete(ctx, key, revision)
		case readErr == nil:
			return fault.Wrap(fault.Conflict, err, "another edit came first or followed at once", "read the row again and decide")
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readBackInterval):
		}
	}
	if lost && fault.Is(err, fault.Conflict) {
		if _, readErr := kv.Get(ctx, key); fault.Is(readErr, fault.NotFound) {
			return nil
		}
	}
	return err
}

// readBackInterval is the pause between attempts to read a row back while the store is down.
const readBackInterval = 200 * time.Millisecond

// Change is one event of a ChangeLog.
type Change struct {
	Entry
	// Deleted is set when the key was removed; Value is then empty.
	Deleted bool
}

// Holder keeps keys that vanish when their holder stops renewing them.
type Holder interface {
	// Hold writes a key that does not exist under a new lease of the given length. A Conflict fault means
	// that the key has another holder. After an OutcomeUnknown fault the key may exist until the lease lapses.
	Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease; a NotFound fault means that it has lapsed.
	Renew(ctx context.Context, id LeaseID) error
	// Release ends a lease and removes its keys.
	Release(ctx context.Context, id LeaseID) error
}

// ChangeLog is a store that tells its changes one by one.
type ChangeLog interface {
	// List returns the entries under prefix and a revision from which Changes tells everything that the
	// entries may lack. An entry may be newer than that revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Changes waits until something under prefix changed after the given revision, at most for wait, and
	// returns the changes and the revision from which to go on. A NotFound fault means that the store no
	// longer has the history after that revision, so that the entries must be listed again.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
