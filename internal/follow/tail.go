package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/store"
)

// maxReplicaChanges bounds the changes that are kept for other instances. An instance that lags
// further behind requests all entries.
const maxReplicaChanges = 2048

// supersededSize is the size in bytes of a value above which only the latest change of its key is kept. Smaller ones are all
// kept: that an upstream leaves tells more than the removal of its entry that follows.
const supersededSize = 4 << 10

// replica is a copy of the store's entries and latest changes in their stored form, from which
// other instances are served.
type replica struct {
	mu           sync.Mutex
	initialized  bool
	entries      map[string]store.Entry
	changes      []store.Change // ordered by position, complete after historyStart but for superseded ones
	historyStart store.Position
	position     store.Position // all entries and changes are of its era
	// confirmed is when the store last reported position as its latest one.
	confirmed time.Time
	updated   chan struct{}
}

func newReplica() *replica {
	return &replica{entries: map[string]store.Entry{}, updated: make(chan struct{})}
}

// at returns the position, which is zero before the first list.
func (r *replica) at() store.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// record adds an update. Only Follower.take calls it.
func (r *replica) record(u update) {
	if u.full {
		r.reset(u.entries, u.position, u.confirmed)
		return
	}
	r.apply(u.changes, u.position, u.confirmed)
}

// reset replaces everything by a list, whose position may be an earlier one.
func (r *replica) reset(entries []store.Entry, position store.Position, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initialized, r.changes, r.historyStart = true, nil, position
	clear(r.entries)
	for _, e := range entries {
		r.entries[e.Key] = e
	}
	r.position = position
	r.confirm(confirmed)
}

// apply adds changes of the current era up to a position.
func (r *replica) apply(changes []store.Change, position store.Position, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lastApplied := r.historyStart
	if n := len(r.changes); n > 0 {
		lastApplied = r.changes[n-1].Position()
	}
	superseded := map[string]bool{}
	for _, c := range changes {
		if !c.Position().After(lastApplied) {
			continue // duplicate; changes of one transaction share a position
		}
		superseded[c.Key] = superseded[c.Key] || len(r.entries[c.Key].Value) > supersededSize
		r.changes = append(r.changes, c)
		if c.Deleted {
			delete(r.entries, c.Key)
		} else {
			r.entries[c.Key] = c.Entry
		}
	}
	r.dropSuperseded(superseded)
	if excess := len(r.changes) - maxReplicaChanges; excess > 0 {
		r.historyStart = r.changes[excess-1].Position()
		r.changes = slices.Clone(r.changes[excess:])
	}
	if position.After(r.position) {
		r.position = position
	}
	r.confirm(confirmed)
}

// dropSuperseded drops all changes but the latest one of keys whose value was large, however often it is written: what is kept
// is then bounded by the entries and by maxReplicaChanges small values.
func (r *replica) dropSuperseded(keys map[string]bool) {
	kept := make([]store.Change, 0, len(r.changes)) // answers that are being sent refer to the old ones
	seen := map[string]bool{}
	for _, c := range slices.Backward(r.changes) {
		if !keys[c.Key] || !seen[c.Key] {
			kept = append(kept, c)
		}
		seen[c.Key] = true
	}
	if len(kept) < len(r.changes) {
		slices.Reverse(kept)
		r.changes = kept
	}
}

func (r *replica) confirm(confirmed time.Time) {
	if confirmed.After(r.confirmed) {
		r.confirmed = confirmed
	}
	close(r.updated)
	r.updated = make(chan struct{})
}

// sinceConfirmed returns the time from the last confirmation to the given one.
func (r *replica) sinceConfirmed(confirmed time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.initialized {
		return 0
	}
	return confirmed.Sub(r.confirmed)
}

// confirmedAt returns when the store last confirmed the position, or zero before the first time.
func (r *replica) confirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// age returns the seconds since the store last confirmed the position, or -1 before the first time.
func (r *replica) age() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.initialized {
		return -1
	}
	return time.Since(r.confirmed).Seconds()
}

// snapshot returns all entries.
func (r *replica) snapshot() (entries []store.Entry, position store.Position, age time.Duration, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		entries = append(entries, e)
	}
	return entries, r.position, time.Since(r.confirmed), r.initialized
}

// changesAfter returns the changes after a position. It waits for one while the data is
// fresh, at most for limit and until ctx ends. gone means that changes after that position were
// already dropped, that it is of another era, or that no list has been received yet.
func (r *replica) changesAfter(ctx context.Context, after store.Position, limit time.Duration) (changes []store.Change, position store.Position, age time.Duration, gone bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for done := false; ; {
		r.mu.Lock()
		gone = !r.initialized || after.Era != r.position.Era || after.Before(r.historyStart)
		first, _ := slices.BinarySearchFunc(r.changes, after.Revision+1, func(c store.Change, first uint64) int { return cmp.Compare(c.Revision, first) })
		// The age is measured when the answer is given, not when the wait began.
		changes, position, age = r.changes[first:len(r.changes):len(r.changes)], r.position, time.Since(r.confirmed)
		updated := r.updated
		r.mu.Unlock()
		if done || gone || len(changes) > 0 || age > maxFreshAge {
			return changes, position, age, gone
		}
		staleTimer := time.NewTimer(maxFreshAge - age + time.Millisecond)
		select {
		case <-updated:
		case <-staleTimer.C:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			done = true
		}
		staleTimer.Stop()
	}
}
