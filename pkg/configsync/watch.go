package configsync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/store"
)

func (y *Syncer) watches() bool {
	return y.members.Holds(watchRole, membership.InRegion(y.members.View().Self.Region), watchersPerRegion)
}

// roleCheckInterval is the mean interval between checks of the watcher role without a change of
// the membership. A change causes an immediate check.
const roleCheckInterval = time.Second

// watchLoop watches the store while this instance has the watcher role.
func (y *Syncer) watchLoop(ctx context.Context) {
	var w watcher
	for ctx.Err() == nil {
		changed := y.members.Changed()
		if y.watches() {
			w.step(ctx, y)
			continue
		}
		w = watcher{}
		select {
		case <-changed:
		case <-time.After(jitter(roleCheckInterval)):
		case <-ctx.Done():
		}
	}
}

// watcher is the state of a watcher from when it gets the role until it loses it.
type watcher struct {
	sequencer sequencer
	after     uint64 // the store's index up to which everything was read
	failures  int
	conflicts int // consecutive
}

// step waits for one change of the store and handles it.
func (w *watcher) step(ctx context.Context, y *Syncer) {
	entries, index, err := w.next(ctx, y)
	if err != nil {
		w.backOff(ctx, y, err)
		return
	}
	w.failures = 0
	d := w.sequencer.observe(time.Now(), y.current.Load(), y.highest.get(time.Now()), parseReading(entries))
	w.after = index
	switch {
	case d.askPeers:
		w.after = 0
		y.askRandomMembers(ctx)
		pause.For(ctx, jitter(peerWait))
	case d.adopt != nil:
		y.adopt(ctx, "store", true, d.adopt)
	case d.head != nil:
		w.write(ctx, y, d)
		return
	}
	w.conflicts = 0
}

// next returns the entries of the store. It reads immediately if no index is known, and
// otherwise waits for a change. If the index decreased, or the store did not end the
// watch in time, it reads without waiting.
func (w *watcher) next(ctx context.Context, y *Syncer) ([]store.Entry, uint64, error) {
	if w.after == 0 {
		return y.kv.List(ctx, Prefix)
	}
	wait, cancel := context.WithTimeout(ctx, y.settings.WatchTimeout.Std())
	defer cancel()
	entries, index, err := y.kv.Watch(wait, Prefix, w.after)
	if err == nil && index >= w.after {
		return entries, index, nil
	}
	if err != nil && wait.Err() == nil {
		return nil, 0, err
	}
	return y.kv.List(ctx, Prefix)
}

// write stores a head and then puts its rows in force. After a conflict or a lost answer
// the next step reads the store again: the head there shows whether the write took effect.
func (w *watcher) write(ctx context.Context, y *Syncer, d decision) {
	w.after = 0
	value, err := json.Marshal(d.head)
	if err != nil {
		y.log.Error(err, "encoding the head failed")
		return
	}
	call, cancel := context.WithTimeout(ctx, y.settings.WatchTimeout.Std())
	defer cancel()
	_, err = y.kv.CompareAndSwap(call, HeadKey, value, d.headAt)
	switch {
	case err == nil:
		y.counts.writes.Add(1)
		y.adopt(ctx, "store", true, d.afterWrite)
	case fault.Is(err, fault.Conflict):
		// Another watcher was first, so its head is read immediately. After a second conflict in
		// a row the reads may be stale, and the store must not be read in a tight loop.
		if w.conflicts++; w.conflicts > 1 {
			pause.For(ctx, jitter(y.settings.RetryMin.Std()))
		}
	default:
		w.backOff(ctx, y, err)
	}
}

// backOff waits with exponential backoff before the store is called again.
func (w *watcher) backOff(ctx context.Context, y *Syncer, err error) {
	w.after = 0
	if w.failures == 0 {
		y.log.Info("store not read", "reason", err.Error())
	}
	d := min(y.settings.RetryMax.Std(), y.settings.RetryMin.Std()<<min(w.failures, 16))
	w.failures++
	pause.For(ctx, jitter(d))
}

// peerWait is the mean time to wait for newer revisions from peers before the store is read again.
const peerWait = 400 * time.Millisecond

// askedPeers is the number of random members that a watcher asks for a newer revision.
const askedPeers = 3

func (y *Syncer) askRandomMembers(ctx context.Context) {
	for _, id := range y.randomMembers(askedPeers) {
		y.running.Go(func() { _, _ = y.compare(ctx, id) })
	}
}
