// Package store defines what turmericsail needs from the platform's key-value
// service: reads, compare-and-swap, watches, leases and the instance list.
//
// Errors are fault kinds. Conflict: another writer was first, nothing changed.
// Unavailable: nothing changed, or nothing was read. OutcomeUnknown: a write may
// have taken effect although its answer was lost; the writer must read the value
// back before it decides and must never repeat the write without doing so.
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
	// Era is the era of the revision, or 0 for a store that does not state it.
	Era uint64
}

// Position returns the position of the entry's last change.
func (e Entry) Position() Position { return Position{e.Era, e.Revision} }

// KV is the key-value part of the store.
type KV interface {
	// Get returns the entry of key, or a NotFound fault.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under prefix and the store's revision at the time of reading.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes value if key's revision is still the given one; 0 means that key must not exist.
	// It returns the new revision if the store reports it, else 0.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64) (uint64, error)
	// Delete removes key if its revision is still the given one.
	Delete(ctx context.Context, key string, revision uint64) error
	// Watch waits until something under prefix changes after the given revision, or until the store ends the
	// wait, and returns the entries and the store's revision.
	Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error)
}

// LeaseID identifies a lease.
type LeaseID string

// Leases is the lease part of the store.
type Leases interface {
	// Grant creates a lease that expires unless it is renewed within ttl.
	Grant(ctx context.Context, name string, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease; a NotFound fault means that it has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Release ends a lease.
	Release(ctx context.Context, id LeaseID) error
}

// LeaseLister reads which leases are in force.
type LeaseLister interface {
	// Leases returns the names of the leases in force that start with prefix.
	Leases(ctx context.Context, prefix string) ([]string, error)
}

// ListedInstance is one row of the platform's instance list, which is updated with a delay.
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
	// Leaving is set once the instance has announced its shutdown.
	Leaving bool
	// Slots is the number of requests that the instance runs concurrently, or 0 if the list does not contain it.
	Slots int
	// StartMillis is the time of the instance's start in Unix milliseconds, or 0 if the list does not contain it.
	// The same ID with another StartMillis is a new process.
	StartMillis int64
	// Version is the version of the service that the instance runs, or empty if the list does not contain it.
	Version string
	// Admin is the host:port of the admin listener of a turmericsail instance, else empty.
	Admin string
}

// ServiceName is the name under which turmericsail instances register in the platform's list.
const ServiceName = "turmericsail"

// Lister reads the platform's list of running and leaving instances of a service.
type Lister interface {
	Instances(ctx context.Context, service string) ([]ListedInstance, error)
}

// Registrar registers this process in the platform's list.
type Registrar interface {
	Register(ctx context.Context, in ListedInstance) error
	Deregister(ctx context.Context, in ListedInstance) error
}

// Put writes value by compare-and-swap and resolves a lost answer by reading
// back. The write is repeated only while the row still has its old revision, so
// that at most one of the two writes takes effect. Put returns Conflict when the
// row has another value, and OutcomeUnknown only when it could not be read back
// before ctx ended.
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
		// The conflict may be with an earlier write of this call.
		if e, readErr := kv.Get(ctx, key); readErr == nil && bytes.Equal(e.Value, value) && e.Revision > revision {
			return e.Revision, nil
		}
	}
	return written, err
}

// Delete removes a key by compare-and-swap and resolves a lost answer by
// reading back, as Put does. A missing key counts as removed.
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

// EphemeralKeys creates keys that are removed when their holder stops renewing their lease.
type EphemeralKeys interface {
	// Create writes a key under a new lease of the given length if it still has the given revision; 0 means that it
	// must not exist. A Conflict fault means that the key has another holder. After an OutcomeUnknown fault the
	// key may exist until the lease expires.
	Create(ctx context.Context, key string, value []byte, revision uint64, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease; a NotFound fault means that it has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Release ends a lease and removes its keys.
	Release(ctx context.Context, id LeaseID) error
}

// Writer writes single keys, whatever their revision.
type Writer interface {
	// Write writes a key. After an OutcomeUnknown fault it may have been written, or may be written later.
	Write(ctx context.Context, key string, value []byte) error
}

// Swap replaces the value of a key that still has the given revision; 0 means that the key must not exist.
type Swap struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Swapper writes several keys at once by compare-and-swap.
type Swapper interface {
	// Swap writes all keys if each still has its revision, or none of them. A Conflict fault means that one has another
	// revision. After an OutcomeUnknown fault they may have been written, or may be written later; repeating
	// the same swap is safe, since only one of them can find the revisions.
	Swap(ctx context.Context, swaps ...Swap) error
}

// ChangeLog is a store that reports its changes one by one.
type ChangeLog interface {
	// List returns the entries under prefix and a position. The entries may lack changes after that position,
	// which Changes returns, and an entry may be newer than it. All of them are of the era of the position.
	List(ctx context.Context, prefix string) ([]Entry, Position, error)
	// ListStale returns the entries under prefix as they were within the last seconds, each part of them at a time of
	// its own, and a position as List does, or zero if it knows none. It costs a tenth of List. The entries may be
	// from before the store was restored.
	ListStale(ctx context.Context, prefix string) ([]Entry, Position, error)
	// Changes waits up to wait for a change under prefix after the given position. It returns the changes and
	// the position from which to continue, which is of the same era. A NotFound fault means that the store no longer has
	// the history after that position, or has started another era, so that the entries must be listed again.
	Changes(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Change, Position, error)
}
