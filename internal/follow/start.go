package follow

import (
	"context"
	"strings"
	"time"

	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// Calls to the store are billed, and all instances of a deployment may start at the same moment, or lose the store at
// the same moment. An instance therefore starts from a stale list, which costs a tenth of a current one, and gets what
// has changed since from a reader. While the store fails, it is tested by stale lists of the readers' keys.

const (
	// staleAge is the age that the entries of a stale list are given. It is above maxFreshAge, so
	// that nobody takes them for fresh.
	staleAge = 2 * time.Second
	// discoveryTime is how long an instance that starts looks for a reader before it watches the store itself. Readers
	// register within this time when all instances start at once.
	discoveryTime = 1200 * time.Millisecond
	// returnSearchTime is how long an instance looks for a reader after the return of the store.
	returnSearchTime = 600 * time.Millisecond
	// searchInterval is the mean pause between two lists of the readers' keys.
	searchInterval = 300 * time.Millisecond
)

// startFromStale takes the first state from a stale list, and what has changed since from a reader. It reports whether
// the store answered. Without a reader the caller watches the store from the position of the list.
func (f *Follower) startFromStale(ctx context.Context) bool {
	start := time.Now()
	f.searchUntil = start.Add(discoveryTime)
	entries, position, err := f.source.ListStale(ctx, "")
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil:
		f.recordStoreFailure("stale list", start, err)
		return false
	}
	if position.Revision == 0 || position.Era > firstEra {
		// A stale list of a restored store may be from before, with positions that this store never had.
		entries, position, err = f.source.List(ctx, "")
		if err != nil {
			f.recordStoreFailure("list", start, err)
			return false
		}
	}
	f.recordStoreAnswer()
	if f.take(update{source: storeOrigin, full: true, entries: entries, position: position, confirmed: time.Now().Add(-staleAge)}) != nil {
		return false
	}
	f.listed = true
	f.adoptReaders(entries)
	if f.peers == nil || f.syncFromReaders(ctx, true) {
		return true
	}
	pause.For(ctx, jitter(searchInterval))
	_, answered := f.searchReader(ctx, discoveryTime)
	return answered
}

// searchReader lists the readers' keys until a reader has fresh data or the limit has passed, once at least. done is
// set if one had, answered if the store answered.
func (f *Follower) searchReader(ctx context.Context, limit time.Duration) (done, answered bool) {
	end := time.Now().Add(limit)
	if deadline := f.storeDeadline(); deadline.Before(end) {
		end = deadline
	}
	for {
		if done, answered = f.syncFromListedReaders(ctx); done || !answered || f.isReader.Load() || ctx.Err() != nil {
			return done, answered
		}
		interval := jitter(searchInterval)
		if !time.Now().Add(interval).Before(end) {
			return done, answered
		}
		pause.For(ctx, interval)
	}
}

// syncFromListedReaders lists the readers' keys and fetches changes from one of them.
func (f *Follower) syncFromListedReaders(ctx context.Context) (done, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeoutMargin)
	defer cancel()
	start := time.Now()
	entries, _, err := f.source.ListStale(ctx, readersPrefix)
	if err != nil {
		f.recordStoreFailure(readersPrefix, start, err)
		return false, false
	}
	f.recordStoreAnswer()
	f.adoptReaders(entries)
	clear(f.avoidUntil)
	return f.syncFromReaders(ctx, true), true
}

// adoptReaders replaces the known readers by those in a list. The state that is published later has the same
// or newer ones.
func (f *Follower) adoptReaders(entries []store.Entry) {
	readers := map[string]Reader{}
	for _, e := range entries {
		if !strings.HasPrefix(e.Key, readersPrefix) {
			continue
		}
		r, err := decodeReader(e)
		if err != nil {
			f.log.Info("entry ignored", "key", e.Key, "revision", e.Revision, "error", err.Error())
			continue
		}
		readers[e.Key] = *r
	}
	f.readers.Store(&readers)
}

// firstEra is the era of a store that was never restored.
const firstEra = 1
