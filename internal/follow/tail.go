package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/store"
)

// maxTail bounds the changes that are kept for other instances. One that lags by
// more asks for all entries.
const maxTail = 2048

// tail is what the store told this instance, kept as it was written so that other
// instances can ask for it.
type tail struct {
	mu       sync.Mutex
	known    bool
	entries  map[string]store.Entry
	changes  []store.Change // in the order of their revisions, complete after from
	from     uint64
	revision uint64
	// confirmed is when the store last said that revision is its latest one.
	confirmed time.Time
	woken     chan struct{}
}

func newTail() *tail { return &tail{entries: map[string]store.Entry{}, woken: make(chan struct{})} }

// reset replaces everything by a list.
func (t *tail) reset(entries []store.Entry, revision uint64, confirmed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known, t.changes, t.from = true, nil, revision
	clear(t.entries)
	for _, e := range entries {
		t.entries[e.Key] = e
	}
	t.advance(revision, confirmed)
}

// apply adds changes up to a revision.
func (t *tail) apply(changes []store.Change, revision uint64, confirmed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	told := t.from
	if n := len(t.changes); n > 0 {
		told = t.changes[n-1].Revision
	}
	for _, c := range changes {
		if c.Revision <= told {
			continue // told twice; changes of one transaction share a revision
		}
		t.changes = append(t.changes, c)
		if c.Deleted {
			delete(t.entries, c.Key)
		} else {
			t.entries[c.Key] = c.Entry
		}
	}
	if over := len(t.changes) - maxTail; over > 0 {
		t.from = t.changes[over-1].Revision
		t.changes = slices.Clone(t.changes[over:])
	}
	t.advance(revision, confirmed)
}

func (t *tail) advance(revision uint64, confirmed time.Time) {
	t.revision = max(t.revision, revision)
	if confirmed.After(t.confirmed) {
		t.confirmed = confirmed
	}
	close(t.woken)
	t.woken = make(chan struct{})
}

// gap returns the time between the last confirmation and the given one.
func (t *tail) gap(confirmed time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return 0
	}
	return confirmed.Sub(t.confirmed)
}

// age returns the seconds since the store last confirmed what is known, or -1 before it did.
func (t *tail) age() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.known {
		return -1
	}
	return time.Since(t.confirmed).Seconds()
}

// all returns every entry.
func (t *tail) all() (entries []store.Entry, revision uint64, age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		entries = append(entries, e)
	}
	return entries, t.revision, time.Since(t.confirmed), t.known
}

// wait returns the changes after a revision. It waits for one as long as the
// knowledge is fresh and ctx allows. gone means that the changes are not kept.
func (t *tail) wait(ctx context.Context, after uint64, limit time.Duration) (changes []store.Change, revision uint64, age time.Duration, gone bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for over := false; ; {
		t.mu.Lock()
		gone = !t.known || after < t.from
		first, _ := slices.BinarySearchFunc(t.changes, after+1, func(c store.Change, r uint64) int { return cmp.Compare(c.Revision, r) })
		// The age is that of the moment at which the answer is given, not of the one at which the wait began.
		changes, revision, age = t.changes[first:len(t.changes):len(t.changes)], t.revision, time.Since(t.confirmed)
		woken := t.woken
		t.mu.Unlock()
		if over || gone || len(changes) > 0 || age > maxAge {
			return changes, revision, age, gone
		}
		stale := time.NewTimer(maxAge - age + time.Millisecond)
		select {
		case <-woken:
		case <-stale.C:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		stale.Stop()
	}
}
