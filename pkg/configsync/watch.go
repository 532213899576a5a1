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

// roleCheck is the longest pause between two looks at the role of watcher; changes
// of the membership are noticed at once.
const roleCheck = time.Second

// watchLoop watches the store while this instance has the role.
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
		case <-time.After(jitter(roleCheck)):
		case <-ctx.Done():
		}
	}
}

// watcher is the state of one spell of watching.
type watcher struct {
	sequencer sequencer
	after     uint64 // the store's index up to which everything was read
	failures  int
	conflicts int // in a row
}

// step waits for one change of the store and acts on it.
func (w *watcher) step(ctx context.Context, y *Syncer) {
	entries, index, err := w.next(ctx, y)
	if err != nil {
		w.pause(ctx, y, err)
		return
	}
	w.failures = 0
	d := w.sequencer.observe(time.Now(), y.current.Load(), y.highest.get(time.Now()), read(entries))
	w.after = index
	switch {
	case d.askPeers:
		w.after = 0
		y.askSome(ctx)
		pause.For(ctx, jitter(askPause))
	case d.adopt != nil:
		y.adopt(ctx, "store", true, d.adopt)
	case d.head != nil:
		w.write(ctx, y, d)
		return
	}
	w.conflicts = 0
}

// next reads at once when nothing is known, and otherwise waits for a change. An
// index that went back, or a watch that the store did not end in time, is followed
// by a plain reading.
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

// write stores a head and puts its rows in force. A conflict or a lost answer is
// resolved by reading again: the head then tells what became of it.
func (w *watcher) write(ctx context.Context, y *Syncer, d decision) {
	w.after = 0
	value, err := json.Marshal(d.head)
	if err != nil {
		y.log.Error(err, "head not encoded")
		return
	}
	call, cancel := context.WithTimeout(ctx, y.settings.WatchTimeout.Std())
	defer cancel()
	_, err = y.kv.CompareAndSwap(call, HeadKey, value, d.headAt)
	switch {
	case err == nil:
		y.counts.writes.Add(1)
		y.adopt(ctx, "store", true, d.then)
	case fault.Is(err, fault.Conflict):
		// Another watcher was first, so its head is read at once. A store that goes on reading
		// stale must not be read in a tight loop.
		if w.conflicts++; w.conflicts > 1 {
			pause.For(ctx, jitter(y.settings.RetryMin.Std()))
		}
	default:
		w.pause(ctx, y, err)
	}
}

// pause waits before the store is called again.
func (w *watcher) pause(ctx context.Context, y *Syncer, err error) {
	w.after = 0
	if w.failures == 0 {
		y.log.Info("store not read", "reason", err.Error())
	}
	d := min(y.settings.RetryMax.Std(), y.settings.RetryMin.Std()<<min(w.failures, 16))
	w.failures++
	pause.For(ctx, jitter(d))
}

// askPause is the time that peers get to bring this instance up to date before the store is read again.
const askPause = 400 * time.Millisecond

// askedPeers is the number of random members that a watcher asks for a newer revision.
const askedPeers = 3

func (y *Syncer) askSome(ctx context.Context) {
	for _, id := range y.random(askedPeers) {
		y.running.Go(func() { _, _ = y.compare(ctx, id) })
	}
}
