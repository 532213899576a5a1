// Package follow keeps the tables of an instance equal to what the operator and
// the upstreams write to the platform's store.
//
// One goroutine for each prefix lists and then watches the store; one goroutine
// owns the state and publishes immutable snapshots. The store is the only place
// that keeps anything: an instance that starts lists it before it has tables. While
// the store cannot be read, the last state stays in force.
package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
)

const (
	// watchWait is how long a watch waits for a change. A watch can miss a change without an error while
	// the store drops its history; only the next call tells. It is below the 3 s after which an instance
	// that reaches the store must know everything again.
	watchWait = 2 * time.Second
	// settle is the pause between an answer with changes and the next watch, so that changes in quick
	// succession cost one call. It is a fraction of the 2 s within which changes must be in force.
	settle = 400 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call. The maximum leaves time to learn of a
	// change within 2 s once the store has been back for 3 s.
	retryMin = 300 * time.Millisecond
	retryMax = 1200 * time.Millisecond
)

// Follower publishes snapshots of the store.
type Follower struct {
	log     logr.Logger
	source  store.ChangeLog
	codec   Codec
	current atomic.Pointer[control.Snapshot]
	batches chan batch
}

// batch is one answer of the store.
type batch struct {
	prefix   string
	listed   bool // entries replace everything under prefix
	returned bool // calls had failed before this answer
	entries  []store.Entry
	changes  []store.Change
}

// New returns a follower without tables.
func New(source store.ChangeLog, codec Codec, log logr.Logger) *Follower {
	f := &Follower{source: source, codec: codec, log: log, batches: make(chan batch)}
	f.current.Store(&control.Snapshot{})
	return f
}

// Snapshot returns the latest snapshot.
func (f *Follower) Snapshot() *control.Snapshot { return f.current.Load() }

// Ready reports whether tables are known.
func (f *Follower) Ready() bool { return f.Snapshot().Tables != nil }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, prefix := range f.codec.Prefixes() {
		g.Go(func() error { return f.follow(ctx, prefix) })
	}
	g.Go(func() error { return f.own(ctx) })
	return g.Wait()
}

// follow lists and watches one prefix.
func (f *Follower) follow(ctx context.Context, prefix string) error {
	var after uint64
	listed, failing := false, false
	pause := retryMin
	for ctx.Err() == nil {
		b := batch{prefix: prefix, returned: failing}
		var err error
		if listed {
			b.changes, after, err = f.changes(ctx, prefix, after)
		} else {
			b.listed = true
			b.entries, after, err = f.source.List(ctx, prefix)
		}
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case fault.Is(err, fault.NotFound):
			f.log.Info("history lost", "prefix", prefix, "after", after)
			listed = false
			continue
		case err != nil:
			if !failing {
				f.log.Info("store lost", "prefix", prefix, "error", err.Error())
			}
			failing = true
			sleep(ctx, jitter(pause))
			pause = min(2*pause, retryMax)
			continue
		case failing:
			f.log.Info("store regained", "prefix", prefix, "revision", after)
		}
		listed, failing, pause = true, false, retryMin
		if len(b.changes) == 0 && !b.listed && !b.returned {
			continue
		}
		select {
		case f.batches <- b:
		case <-ctx.Done():
		}
		sleep(ctx, settle)
	}
	return ctx.Err()
}

// changes keeps the revision of a call that failed.
func (f *Follower) changes(ctx context.Context, prefix string, after uint64) ([]store.Change, uint64, error) {
	changes, next, err := f.source.Changes(ctx, prefix, after, watchWait)
	if err != nil {
		return nil, after, err
	}
	return changes, max(next, after), nil
}

// own owns the mirror.
func (f *Follower) own(ctx context.Context) error {
	m := newMirror(f.codec)
	missing := map[string]bool{}
	for _, prefix := range f.codec.Prefixes() {
		missing[prefix] = true
	}
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		case b := <-f.batches:
			delete(missing, b.prefix)
			f.take(m, b, time.Now())
		}
		now := time.Now()
		next, _ := m.expire(now)
		due = nil
		if !next.IsZero() {
			due = time.After(next.Sub(now))
		}
		if len(missing) == 0 {
			f.publish(m)
		}
	}
}

func (f *Follower) take(m *mirror, b batch, now time.Time) {
	if b.returned {
		m.returned(now)
	}
	if b.listed {
		for _, err := range m.reset(b.prefix, b.entries, now) {
			f.log.Info("entry ignored", "prefix", b.prefix, "error", err.Error())
		}
		f.log.Info("listed", "prefix", b.prefix, "entries", len(b.entries))
		return
	}
	for _, c := range b.changes {
		if err := m.apply(c, now); err != nil {
			f.log.Info("entry ignored", "key", c.Key, "revision", c.Revision, "error", err.Error())
			continue
		}
		f.log.Info("changed", "key", c.Key, "revision", c.Revision, "deleted", c.Deleted, "waits", !m.records[c.Key].removeAt.IsZero())
	}
}

func (f *Follower) publish(m *mirror) {
	tables, problems := m.tables()
	if tables == nil {
		return
	}
	if old := f.Snapshot().Tables; old == nil || old.Revision != tables.Revision {
		f.log.Info("configuration in force", "version", tables.Revision, "routes", len(tables.Routes), "pools", len(tables.Pools))
	}
	f.current.Store(&control.Snapshot{Tables: tables, Refused: problems})
}

// jitter spreads the calls of instances that failed together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
