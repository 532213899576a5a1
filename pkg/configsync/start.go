package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// maxConcurrentCalls bounds the concurrent calls to members when an instance starts or checks progress.
const maxConcurrentCalls = 32

// start brings the instance to the highest revision that it can learn of and then runs
// the compare and watch loops.
func (y *Syncer) start(ctx context.Context) {
	y.running.Go(func() { y.pullLoop(ctx) })
	var w watcher
	for !y.firstTables(ctx, &w) {
		if !pause.For(ctx, jitter(y.settings.RetryMin.Std()*2)) {
			return
		}
	}
	y.served.Store(true)
	close(y.ready)
	changed := make(chan struct{})
	close(*y.changed.Swap(&changed)) // Tables returned nil until now
	y.running.Go(func() { y.compareLoop(ctx) })
	y.watchLoop(ctx)
}

// firstTables asks the store and every live member for their tables. It reports whether
// the tables of this instance may be served.
func (y *Syncer) firstTables(ctx context.Context, w *watcher) bool {
	if !y.awaitMembers(ctx) {
		return false
	}
	// Members are asked first, because their revisions show whether the reading of the store is stale.
	highest := y.askAll(ctx)
	y.readOnce(ctx, w)
	deadline := time.Now().Add(y.settings.PullTimeout.Std())
	for y.current.Load().revision < highest && time.Now().Before(deadline) {
		changed := y.Changed()
		if y.current.Load().revision >= highest {
			break
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-ctx.Done():
			return false
		}
	}
	return y.current.Load().revision > 0 && y.current.Load().revision >= highest
}

// awaitMembers waits until the membership is ready, so that the members to ask are known.
// It returns false if ctx ends first.
func (y *Syncer) awaitMembers(ctx context.Context) bool {
	for {
		changed := y.members.Changed()
		if y.members.View().Ready {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// readOnce reads the store and adopts its tables if the head covers all rows. An edit
// without a revision is left to the watchers, unless this instance is a watcher itself.
func (y *Syncer) readOnce(ctx context.Context, w *watcher) {
	if y.watches() {
		w.after = 0
		w.step(ctx, y)
		return
	}
	entries, _, err := y.kv.List(ctx, Prefix)
	if err != nil {
		return
	}
	d := new(sequencer).observe(time.Now(), y.current.Load(), y.highest.get(time.Now()), parseReading(entries))
	if d.adopt != nil {
		y.adopt(ctx, "store", false, d.adopt)
	}
}

// askAll compares with every live member and returns the highest revision.
func (y *Syncer) askAll(ctx context.Context) uint64 {
	var mu sync.Mutex
	var highest uint64
	y.forEach(y.liveOthers(membership.Fleet()), func(id peer.InstanceID) {
		if d, err := y.compare(ctx, id); err == nil {
			mu.Lock()
			defer mu.Unlock()
			highest = max(highest, d.GetRevision())
		}
	})
	return highest
}

// forEach calls f for every instance, with at most maxConcurrentCalls calls at a time, and waits for all.
func (y *Syncer) forEach(ids []peer.InstanceID, f func(peer.InstanceID)) {
	slots := make(chan struct{}, maxConcurrentCalls)
	var all sync.WaitGroup
	for _, id := range ids {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			f(id)
		})
	}
	all.Wait()
}
