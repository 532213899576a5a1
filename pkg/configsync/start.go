package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
)

// askers bounds the members that a starting instance asks at the same time.
const askers = 32

// start brings a starting instance to the highest revision that it can learn of
// and then begins the loops.
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
	close(*y.changed.Swap(&changed)) // Tables gave nil until now
	y.running.Go(func() { y.compareLoop(ctx) })
	y.watchLoop(ctx)
}

// firstTables asks the store and every live member, and reports whether there are
// tables that may be served.
func (y *Syncer) firstTables(ctx context.Context, w *watcher) bool {
	if !y.awaitMembers(ctx) {
		return false
	}
	// The members come first, because their revisions tell whether the store's reading is an old one.
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

// readOnce takes the tables from the store when its head tells what is in force.
// An edit that has no revision yet is left to the watchers, unless there are none.
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
	d := new(sequencer).observe(time.Now(), y.current.Load(), y.highest.get(time.Now()), read(entries))
	if d.adopt != nil {
		y.adopt(ctx, "store", false, d.adopt)
	}
}

// askAll compares with every live member and returns the highest revision.
func (y *Syncer) askAll(ctx context.Context) uint64 {
	var mu sync.Mutex
	var highest uint64
	y.each(y.others(membership.Fleet()), func(id peer.InstanceID) {
		if d, err := y.compare(ctx, id); err == nil {
			mu.Lock()
			defer mu.Unlock()
			highest = max(highest, d.GetRevision())
		}
	})
	return highest
}

// each runs f for every instance, a bounded number at a time.
func (y *Syncer) each(ids []peer.InstanceID, f func(peer.InstanceID)) {
	slots := make(chan struct{}, askers)
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
