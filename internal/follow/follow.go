// Package follow keeps the tables of an instance equal to what the operator and
// the upstreams write to the platform's store.
//
// One goroutine asks for changes: a few readers ask the store, all others ask a
// reader (see Readers) and fall back to the store when a reader fails or knows
// nothing fresh. Another goroutine owns the state and publishes immutable snapshots.
// The store is the only place that keeps anything: an instance that starts lists it
// before it has tables. While neither the store nor a reader can be reached, the
// last state stays in force.
package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"github.com/turmericsail/turmericsail/internal/control"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
)

const (
	// watchWait is how long a watch waits for a change. A watch can miss a change without an error while
	// the store drops its history; only the next call tells. With settle and maxAge it keeps what an
	// instance knows younger than the 2 s within which changes must be in force.
	watchWait = time.Second
	// settle is the pause between an answer with changes and the next watch, so that changes in quick
	// succession cost one call.
	settle = 400 * time.Millisecond
	// maxAge is the age from which the knowledge of a reader is not fresh: a watch, a pause and some slack.
	maxAge = watchWait + settle + 200*time.Millisecond
	// lapseGap is the time without word from the store after which entries may have lapsed in it: they do
	// after three heartbeats of 1.5 s, of which one may have come just before.
	lapseGap = 2500 * time.Millisecond
	// failedGap is the same where a call failed meanwhile: an outage of that length can take two heartbeats
	// in a row.
	failedGap = 2 * time.Second
	// startPause is the pause after the first list while no reader is known: all instances of a
	// deployment may start at once, and the first readers are there within it.
	startPause = 1200 * time.Millisecond
	// quickAnswer bounds the answer of a reader that is asked after another one failed: a round trip between
	// regions takes 24 ms. maxAsked bounds the readers that are asked in a row before the store is.
	quickAnswer = 150 * time.Millisecond
	maxAsked    = 2
	// seedLimit bounds the connection to a seed and its answer, which holds the whole state.
	seedLimit = 1300 * time.Millisecond
	// avoidTime is how long a reader that failed is not asked.
	avoidTime = 3 * time.Second
	// retryMin and retryMax bound the mean time between the starts of two failed calls, which is spread by
	// half of it.
	retryMin = 300 * time.Millisecond
	retryMax = 1200 * time.Millisecond
	// readerRetry is the pause before readers are asked again while neither they nor the store answer. They
	// are asked more often than the store, whose calls have a price.
	readerRetry = 300 * time.Millisecond
	// callSlack bounds a watch beyond its wait: 200 times the 4 ms that the store takes in calm times. A
	// store that was silent may hold a call for good, so call and pause together must leave time to learn
	// of a change within 2 s once the store has been back for 3 s.
	callSlack = 800 * time.Millisecond
)

// Parts are the parts that a follower uses.
type Parts struct {
	Source store.ChangeLog
	Codec  Codec
	// Holder and Peers let instances read the store for each other; without them the follower reads it itself.
	Holder store.Holder
	Peers  peer.Transport
	Self   Self
	// Seeds are addresses of other instances, which an instance that starts asks while the store does not answer.
	Seeds []string
	// Dial finds out which instance answers at an address.
	Dial func(ctx context.Context, address string) (peer.InstanceID, error)
}

// Follower publishes snapshots of the store.
type Follower struct {
	log     logr.Logger
	source  store.ChangeLog
	codec   Codec
	holder  store.Holder
	peers   peer.Transport
	self    Self
	seeds   []string
	dial    func(ctx context.Context, address string) (peer.InstanceID, error)
	tail    *tail
	readers atomic.Pointer[map[string]Reader]
	last    atomic.Pointer[Reader] // the reader that was fresh or told something new last
	reading atomic.Bool            // this instance holds a place
	shut    atomic.Bool            // the store did not answer the last call, and no renewal of the place since
	direct  atomic.Bool            // the latest knowledge came from the store itself
	current atomic.Pointer[control.Snapshot]
	batches chan batch

	// Owned by follow.
	after   uint64
	listed  bool
	failing bool   // the last call to the store failed
	alone   bool   // it did, and no reader has answered since
	origin  string // where the latest fresh answer came from
	avoid   map[peer.InstanceID]time.Time
}

// batch is one answer of the store or of a reader.
type batch struct {
	listed   bool // entries replace everything
	returned bool // the store may have been away before this answer
	entries  []store.Entry
	changes  []store.Change
}

// New returns a follower without tables.
func New(p Parts, log logr.Logger) *Follower {
	f := &Follower{
		source: p.Source, codec: p.Codec, holder: p.Holder, peers: p.Peers, self: p.Self, seeds: p.Seeds, dial: p.Dial, log: log,
		tail: newTail(), batches: make(chan batch), avoid: map[peer.InstanceID]time.Time{},
	}
	f.current.Store(&control.Snapshot{})
	metrics.GetOrCreateGauge("turmericsail_store_knowledge_age_seconds", f.tail.age)
	if f.peers != nil {
		f.peers.Handle(Service, f.serve)
	}
	return f
}

// Snapshot returns the latest snapshot.
func (f *Follower) Snapshot() *control.Snapshot { return f.current.Load() }

// Ready reports whether tables are known.
func (f *Follower) Ready() bool { return f.Snapshot().Tables != nil }

// Address returns the peer address of a reader.
func (f *Follower) Address(id peer.InstanceID) (string, bool) {
	if known := f.readers.Load(); known != nil {
		for _, r := range *known {
			if r.ID == id {
				return r.Address, true
			}
		}
	}
	if last := f.last.Load(); last != nil && last.ID == id {
		return last.Address, true
	}
	return "", false
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.follow(ctx) })
	g.Go(func() error { return f.own(ctx) })
	if f.holder != nil && f.peers != nil {
		g.Go(func() error { return f.holdPlace(ctx) })
	}
	return g.Wait()
}

// follow asks for changes until ctx ends.
func (f *Follower) follow(ctx context.Context) error {
	backoff := retryMin
	var nextCall time.Time
	for ctx.Err() == nil {
		if f.followReader(ctx) {
			continue
		}
		if left := time.Until(nextCall); left > 0 {
			pause.For(ctx, min(left, readerRetry))
			continue
		}
		nextCall = time.Now().Add(jitter(backoff))
		if f.followStore(ctx) {
			backoff, nextCall = retryMin, time.Time{}
			continue
		}
		backoff = min(2*backoff, retryMax)
		if !f.listed {
			f.followSeeds(ctx)
		}
	}
	return ctx.Err()
}

// leads reports whether this instance reads the store although it knows readers: it holds a
// place and the store answers it.
func (f *Follower) leads() bool { return f.reading.Load() && !f.shut.Load() }

// passesOn reports whether what this instance knows may count as fresh for others: it leads, or
// has just heard from the store, as a reader that lost its place has.
func (f *Follower) passesOn() bool { return f.leads() || f.direct.Load() && !f.shut.Load() }

// followReader asks a reader for changes, and when it fails others for what they know
// already. It reports false when the store must be asked instead.
func (f *Follower) followReader(ctx context.Context) bool {
	wait, limit := relayWait, relayWait+relayMargin
	if f.alone {
		wait, limit = 0, quickAnswer
		clear(f.avoid)
	}
	for range maxAsked {
		if f.leads() || f.after == 0 || ctx.Err() != nil {
			return false
		}
		reader, ok := f.pickReader(time.Now())
		if !ok {
			return false
		}
		err := f.askReader(ctx, reader, wait, limit)
		if err == nil {
			f.alone = false
			return true
		}
		wait, limit = 0, quickAnswer
		f.avoid[reader.ID] = time.Now().Add(avoidTime)
		if ctx.Err() == nil && !f.alone {
			f.log.Info("reader lost", "reader", reader.ID, "error", err.Error())
		}
	}
	return false
}

// askReader takes what one reader knows. It fails when the reader's knowledge is not fresh.
func (f *Follower) askReader(ctx context.Context, reader Reader, wait, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := f.ask(ctx, reader.ID, f.after, wait)
	full := fault.Is(err, fault.NotFound)
	if full {
		r, err = f.askAll(ctx, reader.ID)
	}
	if err != nil {
		return err
	}
	confirmed := time.Now().Add(-r.age)
	returned := f.tail.gap(confirmed) > lapseGap
	if full {
		f.tail.reset(r.entries, r.revision, confirmed)
	} else {
		f.tail.apply(r.changes, r.revision, confirmed)
	}
	f.after, f.listed = max(f.after, r.revision), true
	f.pass(ctx, batch{listed: full, returned: returned, entries: r.entries, changes: r.changes})
	if r.age <= maxAge || full || len(r.changes) > 0 {
		f.last.Store(&reader)
	}
	if r.age > maxAge {
		return fault.New(fault.Unavailable, "the reader has not heard from the store itself for "+r.age.String(), "ask another one, or the store")
	}
	f.direct.Store(false)
	f.noteOrigin(string(reader.ID), r.age)
	return nil
}

// followSeeds takes the state of another instance when the store does not answer
// at the start, so that an instance that is restarted during an outage can serve.
func (f *Follower) followSeeds(ctx context.Context) {
	if f.peers == nil || f.dial == nil {
		return
	}
	for _, address := range f.seeds {
		if address == f.self.Address {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, seedLimit)
		id, err := f.dial(asking, address)
		var r relayed
		if err == nil {
			r, err = f.askAll(asking, id)
		}
		cancel()
		if err != nil {
			f.log.V(1).Info("seed not reached", "address", address, "error", err.Error())
			continue
		}
		f.log.Info("state taken from a seed", "address", address, "revision", r.revision, "age", r.age.String())
		f.tail.reset(r.entries, r.revision, time.Now().Add(-r.age))
		f.after, f.listed = max(f.after, r.revision), true
		f.pass(ctx, batch{listed: true, returned: true, entries: r.entries})
		return
	}
}

// followStore asks the store once and reports whether it answered.
func (f *Follower) followStore(ctx context.Context) bool {
	b := batch{listed: !f.listed}
	failed, asked := f.failing, time.Now()
	var err error
	var next uint64
	if b.listed {
		b.entries, next, err = f.source.List(ctx, "")
	} else {
		b.changes, next, err = f.watch(ctx)
	}
	switch {
	case ctx.Err() != nil:
		return false
	case fault.Is(err, fault.NotFound):
		f.log.Info("history lost", "after", f.after)
		f.listed = false
		f.shut.Store(false)
		return true
	case err != nil:
		if !f.failing {
			f.log.Info("store lost", "error", err.Error())
		}
		f.failing = true
		f.shut.Store(true)
		f.alone = true
		return false
	case f.failing:
		f.log.Info("store regained", "revision", next)
		f.failing = false
	}
	f.alone = false
	f.shut.Store(false)
	f.direct.Store(true)
	confirmed := time.Now()
	if !b.listed && len(b.changes) == 0 && next > f.after {
		// The store went on and told nothing: the watch missed changes while the history was dropped.
		f.log.Info("changes missed", "after", f.after, "revision", next)
		next, confirmed = f.after, asked
	}
	gap := f.tail.gap(confirmed)
	b.returned = gap > lapseGap || failed && gap > failedGap
	first := f.after == 0
	if b.listed {
		f.tail.reset(b.entries, next, confirmed)
	} else {
		f.tail.apply(b.changes, max(next, f.after), confirmed)
	}
	f.after, f.listed = max(next, f.after), true
	f.noteOrigin(storeOrigin, 0)
	if len(b.changes) > 0 || b.listed || b.returned {
		f.pass(ctx, b)
		if first && !f.hasReaders() {
			pause.For(ctx, startPause)
		} else {
			pause.For(ctx, settle)
		}
	}
	return true
}

// storeOrigin is the origin of what the store itself told.
const storeOrigin = "store"

// noteOrigin logs where this instance learns of changes when that is another place than before.
func (f *Follower) noteOrigin(origin string, age time.Duration) {
	if f.origin != origin {
		f.log.Info("origin changed", "from", f.origin, "to", origin, "age", age.String(), "revision", f.after, "reading", f.reading.Load())
		f.origin = origin
	}
}

// watch asks the store for changes. It waits for one only when the store answered the call
// before, so that a silent store holds the instance no longer than needed.
func (f *Follower) watch(ctx context.Context) ([]store.Change, uint64, error) {
	wait := watchWait
	if f.failing || f.origin != storeOrigin {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	return f.source.Changes(ctx, "", f.after, wait)
}

func (f *Follower) hasReaders() bool {
	known := f.readers.Load()
	return known != nil && len(*known) > 0
}

// pass hands an answer to the owner of the state.
func (f *Follower) pass(ctx context.Context, b batch) {
	if !b.listed && !b.returned && len(b.changes) == 0 {
		return
	}
	select {
	case f.batches <- b:
	case <-ctx.Done():
	}
}

// own owns the mirror.
func (f *Follower) own(ctx context.Context) error {
	m := newMirror(f.codec)
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		case b := <-f.batches:
			f.take(m, b, time.Now())
		}
		now := time.Now()
		next := m.expire(now)
		due = nil
		if !next.IsZero() {
			due = time.After(next.Sub(now))
		}
		f.publish(m)
	}
}

func (f *Follower) take(m *mirror, b batch, now time.Time) {
	if b.returned {
		m.returned(now)
	}
	if b.listed {
		for _, x := range m.reset(b.entries, now) {
			f.log.Info("entry ignored", "key", x.entry.Key, "revision", x.entry.Revision, "error", x.err.Error())
		}
		f.log.Info("listed", "entries", len(b.entries))
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
	readers := m.readers()
	f.readers.Store(&readers)
	tables, problems := m.tables()
	if tables == nil {
		return
	}
	if old := f.Snapshot().Tables; old == nil || old.Revision != tables.Revision {
		f.log.Info("configuration in force", "version", tables.Revision, "routes", len(tables.Routes), "pools", len(tables.Pools))
	}
	f.current.Store(&control.Snapshot{Tables: tables, Limits: m.config.Limits, Refused: problems})
}

// weight orders the readers of a region for this instance (rendezvous hashing).
func (f *Follower) weight(id peer.InstanceID) uint64 {
	return xxhash.Sum64String(string(f.self.ID) + " " + string(id))
}

// jitter spreads the calls of instances that failed together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
