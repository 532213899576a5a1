// Package follow keeps the tables of an instance in sync with what the operator and
// the upstreams write to the platform's store.
//
// One goroutine fetches changes. A few instances, the readers, watch the store; all others
// fetch changes from a reader (see Reader) and fall back to the store when no reader returns
// fresh data. A second goroutine owns the decoded state and publishes immutable snapshots.
// Nothing is persisted outside the store: a starting instance lists the store before it has
// tables. While neither the store nor a reader can be reached, the last state stays in force.
package follow

import (
	"context"
	"errors"
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
	"github.com/turmericsail/turmericsail/pkg/table"
)

const (
	// watchWait is how long a watch waits for a change. A watch can miss a change without an error when the
	// store drops its history, which only the next call detects. Together with batchPause and maxFreshAge it
	// keeps the data of an instance within the 2 s in which changes must be in force.
	watchWait = time.Second
	// batchPause is the pause between an answer with changes and the next watch, so that changes in quick
	// succession cost one call.
	batchPause = 400 * time.Millisecond
	// maxFreshAge is the age above which the data of a reader is stale: a watch, a pause and 200 ms of margin.
	maxFreshAge = watchWait + batchPause + 200*time.Millisecond
	// outageGap is the time without contact to the store after which leased entries may have expired in it.
	// They expire after three missed heartbeats of 1.5 s, one of which may have arrived just before.
	outageGap = 2500 * time.Millisecond
	// failedCallGap replaces outageGap when a call failed in that time: an outage of this length can cover two
	// consecutive heartbeats.
	failedCallGap = 2 * time.Second
	// fallbackTimeout bounds a call to a reader after another reader failed; a round trip between regions takes
	// 24 ms.
	fallbackTimeout = 150 * time.Millisecond
	// minReaderTimeout is the shortest useful time limit of a call to a reader: a round trip between regions.
	minReaderTimeout = 30 * time.Millisecond
	// maxReaderAttempts bounds the readers that are tried in a row before the store is.
	maxReaderAttempts = 3
	// returnSearchLimit is how long after the start of a failed call to the store readers may be searched in its
	// place. An instance whose store has been back for 3 s must know of changes; the rest is for the last call to a
	// reader and for the store.
	returnSearchLimit = 2600 * time.Millisecond
	// seedTimeout bounds the connection to a seed and its answer, which holds the whole state.
	seedTimeout = 1300 * time.Millisecond
	// failedReaderCooldown is how long a reader is not called after it failed.
	failedReaderCooldown = 3 * time.Second
	// startingReaderCooldown is how long a reader is not called after it answered that it has not read the store yet.
	startingReaderCooldown = 300 * time.Millisecond
	// storeRetryMin is the mean time between the starts of a first failed call to the store and of the next one.
	// The time doubles with each failure, but not for readers; each interval is jittered by half of its value.
	storeRetryMin = 300 * time.Millisecond
	// storeRetryMax bounds the mean time between the starts of failed calls to the store.
	storeRetryMax = 1200 * time.Millisecond
	// readerRetryInterval is the pause before readers are tried again while neither they nor the store answer.
	// It is shorter than the pause between calls to the store, which are billed.
	readerRetryInterval = 300 * time.Millisecond
	// watchTimeoutMargin bounds a watch beyond its wait: 200 times the 4 ms that an unloaded store takes. A
	// store that was unresponsive may never answer a pending call, so a call and a pause together must be short
	// enough to learn of a change within 2 s once the store has been back for 3 s.
	watchTimeoutMargin = 800 * time.Millisecond
	// storeAnswerLimit is how long after its call an answer of the store was given at the latest.
	storeAnswerLimit = watchWait + watchTimeoutMargin
)

// Options holds the dependencies and settings of a Follower.
type Options struct {
	Source store.ChangeLog
	Codec  Codec
	// Ephemeral and Peers let instances read the store for each other; without them the follower reads it itself.
	Ephemeral store.EphemeralKeys
	Peers     peer.Transport
	Self      Self
	// Writer records the number of instances in the store; without it none is recorded.
	Writer store.Writer
	// Regions is the number of regions of the deployment.
	Regions int
	// Seeds are addresses of other instances. A starting instance asks them for the state while the store does
	// not answer.
	Seeds []string
	// Dial connects to an address and returns the ID of the instance that answers there.
	Dial func(ctx context.Context, address string) (peer.InstanceID, error)
}

// Follower publishes snapshots of the store.
type Follower struct {
	log           logr.Logger
	source        store.ChangeLog
	codec         Codec
	ephemeral     store.EphemeralKeys
	peers         peer.Transport
	self          Self
	seeds         []string
	dial          func(ctx context.Context, address string) (peer.InstanceID, error)
	replica       *replica
	writer        store.Writer
	regions       int
	counter       *instanceCounter
	callers       *callers
	shared        atomic.Pointer[map[string]map[string][]byte] // by name and region
	fleet         atomic.Pointer[map[string]int]               // recorded numbers of instances by region
	readers       atomic.Pointer[map[string]Reader]
	lastReader    atomic.Pointer[Reader]    // the latest reader that was fresh or had new changes
	isReader      atomic.Bool               // this instance holds a reader lease
	grantsFrom    atomic.Pointer[time.Time] // when this instance may act for its region
	storeDown     atomic.Bool               // the last call to the store failed, and no renewal of the reader lease has succeeded since
	fromStore     atomic.Bool               // the latest data came from the store itself
	current       atomic.Pointer[control.Snapshot]
	updates       chan update
	stateEnded    chan struct{} // closed when stateLoop has ended
	sharedChanged chan struct{}
	rollouts      atomic.Pointer[map[string]Rollout] // by service; nil while there are none

	// Owned by syncLoop.
	listed       bool
	storeFailing bool   // the last call to the store failed
	isolated     bool   // the last call to the store failed, and no reader has answered since
	origin       string // where the latest fresh answer came from
	lookup       lookup // the calls since the latest fresh answer
	avoidUntil   map[peer.InstanceID]time.Time
	searchUntil  time.Time // readers may be asked in place of the store until then, however old the data is
}

// update is one answer of the store or of another instance.
type update struct {
	source      string // storeOrigin, or the instance that answered
	full        bool   // entries replace everything
	restored    bool   // entries are the first ones of a store that has gone back to a copy
	afterOutage bool   // the store may have been unavailable before this answer
	entries     []store.Entry
	changes     []store.Change
	position    store.Position // up to which nothing is lacking once the update is applied
	confirmed   time.Time      // when the store last reported the position as its latest one
}

// New returns a follower without tables.
func New(opts Options, log logr.Logger) *Follower {
	f := &Follower{
		source: opts.Source, codec: opts.Codec, ephemeral: opts.Ephemeral, peers: opts.Peers, self: opts.Self, seeds: opts.Seeds, dial: opts.Dial, log: log,
		replica: newReplica(), writer: opts.Writer, regions: opts.Regions, counter: newInstanceCounter(), callers: newCallers(), sharedChanged: make(chan struct{}, 1), updates: make(chan update), stateEnded: make(chan struct{}), avoidUntil: map[peer.InstanceID]time.Time{},
	}
	f.current.Store(&control.Snapshot{})
	metrics.GetOrCreateGauge("turmericsail_store_knowledge_age_seconds", f.replica.age)
	if f.peers != nil {
		f.peers.Handle(Service, f.handleChanges)
	}
	return f
}

// Snapshot returns the latest snapshot.
func (f *Follower) Snapshot() *control.Snapshot { return f.current.Load() }

// Ready reports whether tables are known.
func (f *Follower) Ready() bool { return f.Snapshot().Tables != nil }

// Confirmed returns when the store last confirmed what this instance knows of it.
func (f *Follower) Confirmed() time.Time { return f.replica.confirmedAt() }

// Address returns the peer address of a reader.
func (f *Follower) Address(id peer.InstanceID) (string, bool) {
	if known := f.readers.Load(); known != nil {
		for _, r := range *known {
			if r.ID == id {
				return r.Address, true
			}
		}
	}
	if last := f.lastReader.Load(); last != nil && last.ID == id {
		return last.Address, true
	}
	return "", false
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.syncLoop(ctx) })
	g.Go(func() error { return f.stateLoop(ctx) })
	if f.ephemeral != nil && f.peers != nil {
		g.Go(func() error { return f.maintainReaderLease(ctx) })
	}
	return g.Wait()
}

// syncLoop fetches changes until ctx ends.
func (f *Follower) syncLoop(ctx context.Context) error {
	backoff := storeRetryMin
	var nextCall time.Time
	for ctx.Err() == nil {
		if f.syncFromReaders(ctx, f.isolated) {
			continue
		}
		if left := time.Until(nextCall); left > 0 {
			pause.For(ctx, min(left, readerRetryInterval))
			continue
		}
		nextCall = time.Now().Add(jitter(backoff))
		if f.syncFromStore(ctx) {
			backoff, nextCall = storeRetryMin, time.Time{}
			continue
		}
		if !f.isReader.Load() { // others wait for a reader, so it must find the store first
			backoff = min(2*backoff, storeRetryMax)
		}
		if !f.listed {
			f.syncFromSeeds(ctx)
		}
	}
	return ctx.Err()
}

// actsAsReader reports whether this instance reads the store for others: it holds a reader
// lease and the store answers its calls.
func (f *Follower) actsAsReader() bool { return f.isReader.Load() && !f.storeDown.Load() }

// hasFreshState reports whether other instances may treat the data of this one as fresh: it acts
// as a reader, or its latest data came from the store itself, as after it lost its reader lease.
func (f *Follower) hasFreshState() bool {
	return f.actsAsReader() || f.fromStore.Load() && !f.storeDown.Load()
}

// storeDeadline returns the time until which readers may be asked in place of the store. The calls to readers,
// searches and pauses before a call to the store all end by it, the last of them fallbackTimeout later at most, so
// their number does not add to the age of the data.
func (f *Follower) storeDeadline() time.Time {
	deadline := f.replica.confirmedAt().Add(maxFreshAge)
	if f.searchUntil.After(deadline) {
		return f.searchUntil
	}
	return deadline
}

// syncFromReaders fetches changes from a reader. When that reader fails, or in a search, it asks readers for
// what they already know, without waiting. It reports false when the store must be asked instead.
func (f *Follower) syncFromReaders(ctx context.Context, search bool) bool {
	if f.isolated {
		clear(f.avoidUntil)
	}
	deadline := f.storeDeadline()
	for range maxReaderAttempts {
		left := time.Until(deadline)
		if f.actsAsReader() || f.replica.at().IsZero() || ctx.Err() != nil || left < minReaderTimeout-fallbackTimeout {
			return false
		}
		wait, limit := min(readerWait, max(left, 0)), min(readerWait+readerWaitMargin, left+fallbackTimeout)
		if search {
			wait, limit = 0, min(fallbackTimeout, left+fallbackTimeout)
		}
		reader, ok := f.selectReader(time.Now())
		if !ok {
			return false
		}
		start := time.Now()
		err := f.syncFromReader(ctx, reader, wait, limit)
		if err == nil {
			f.isolated = false
			return true
		}
		f.lookup.add(string(reader.ID), start, err)
		search = true
		if errors.Is(err, errReaderStarting) {
			f.avoidUntil[reader.ID] = time.Now().Add(startingReaderCooldown)
			f.log.V(1).Info("reader not ready", "reader", reader.ID, "error", err.Error())
			continue
		}
		f.avoidUntil[reader.ID] = time.Now().Add(failedReaderCooldown)
		if ctx.Err() == nil && !f.isolated {
			f.log.Info("reader lost", "reader", reader.ID, "error", err.Error())
		}
	}
	return false
}

// errReaderStarting means that a reader has not read the store since it took its place: its position is before its own key.
var errReaderStarting = errors.New("the reader has not read the store since it took its place")

// syncFromReader applies the changes of one reader. It fails when the reader's data is stale.
func (f *Follower) syncFromReader(ctx context.Context, reader Reader, wait, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	requestedAt := time.Now()
	r, err := f.requestChanges(ctx, reader.ID, f.replica.at(), wait)
	historyLost := fault.Is(err, fault.NotFound)
	if historyLost {
		r, err = f.requestSnapshot(ctx, reader.ID)
	}
	if err != nil {
		return err
	}
	confirmed := latestAnswerTime(requestedAt, limit).Add(-r.age)
	gap := f.replica.sinceConfirmed(confirmed)
	err = f.take(update{
		source: string(reader.ID), full: historyLost, restored: historyLost && r.position.Era > f.replica.at().Era, afterOutage: gap > outageGap,
		entries: r.entries, changes: r.changes, position: r.position, confirmed: confirmed,
	})
	if err != nil {
		return err
	}
	if r.age <= maxFreshAge || historyLost || len(r.changes) > 0 {
		f.lastReader.Store(&reader)
	}
	if r.age > maxFreshAge && r.position.Before(reader.since) {
		return fault.Wrap(fault.Unavailable, errReaderStarting, "the reader has no fresh data", "ask it again soon")
	}
	if r.age > maxFreshAge {
		return fault.New(fault.Unavailable, "the reader's data is stale, with an age of "+r.age.String(), "ask another one, or the store")
	}
	f.listed = true
	f.fromStore.Store(false)
	f.recordLookup(gap)
	f.recordOrigin(string(reader.ID), r.age)
	return nil
}

// syncFromSeeds takes the state of another instance when the store does not answer
// at the start, so that an instance that is restarted during an outage can serve.
func (f *Follower) syncFromSeeds(ctx context.Context) {
	if f.peers == nil || f.dial == nil {
		return
	}
	for _, address := range f.seeds {
		if address == f.self.Address {
			continue
		}
		requestedAt := time.Now()
		seedCtx, cancel := context.WithTimeout(ctx, seedTimeout)
		id, err := f.dial(seedCtx, address)
		var r readerReply
		if err == nil {
			r, err = f.requestSnapshot(seedCtx, id)
		}
		cancel()
		if err != nil {
			f.log.V(1).Info("seed not reached", "address", address, "error", err.Error())
			continue
		}
		f.log.Info("state taken from a seed", "address", address, "era", r.position.Era, "revision", r.position.Revision, "age", r.age.String())
		u := update{source: string(id), full: true, afterOutage: true, entries: r.entries, position: r.position, confirmed: latestAnswerTime(requestedAt, seedTimeout).Add(-r.age)}
		f.listed = f.take(u) == nil
		return
	}
}

// syncFromStore calls the store once and reports whether it answered.
func (f *Follower) syncFromStore(ctx context.Context) bool {
	position := f.replica.at()
	if position.IsZero() {
		return f.startFromStale(ctx)
	}
	failedBefore := f.storeFailing
	if f.listed && f.origin != storeOrigin && !f.isReader.Load() && time.Now().Before(f.storeDeadline()) {
		searchTime := time.Duration(0)
		if failedBefore {
			searchTime = returnSearchTime
		}
		if done, answered := f.searchReader(ctx, searchTime); done || !answered {
			return done
		}
	}
	u := update{source: storeOrigin, full: !f.listed}
	requestedAt := time.Now()
	var err error
	if u.full {
		u.entries, u.position, err = f.source.List(ctx, "")
	} else {
		u.changes, u.position, err = f.watch(ctx, position)
	}
	switch {
	case ctx.Err() != nil:
		return false
	case fault.Is(err, fault.NotFound):
		f.log.Info("history lost", "era", position.Era, "after", position.Revision)
		f.listed = false
		f.storeDown.Store(false)
		return true
	case err != nil:
		f.recordStoreFailure(storeOrigin, requestedAt, err)
		return false
	}
	f.recordStoreAnswer()
	f.isolated = false
	f.storeDown.Store(false)
	f.fromStore.Store(true)
	u.confirmed = latestAnswerTime(requestedAt, storeAnswerLimit)
	if !u.full && len(u.changes) == 0 && u.position.After(position) {
		// The position rose without any event: the watch missed changes while the history was dropped.
		f.log.Info("changes missed", "after", position.Revision, "revision", u.position.Revision)
		u.position, u.confirmed = position, requestedAt
	}
	gap := f.replica.sinceConfirmed(u.confirmed)
	u.afterOutage = gap > outageGap || failedBefore && gap > failedCallGap
	u.restored = u.full && (u.position.Era > position.Era || u.position.Before(position))
	if f.take(u) != nil {
		return false
	}
	f.listed = true
	f.recordLookup(gap)
	f.recordOrigin(storeOrigin, 0)
	if u.changesState() {
		pause.For(ctx, batchPause)
	}
	return true
}

// recordStoreFailure records that a call to the store failed: what was asked for, and when.
func (f *Follower) recordStoreFailure(asked string, start time.Time, err error) {
	f.lookup.add(asked, start, err)
	f.searchUntil = start.Add(returnSearchLimit)
	if !f.storeFailing {
		f.log.Info("store lost", "error", err.Error())
	}
	f.storeFailing = true
	f.storeDown.Store(true)
	f.isolated = true
}

// recordStoreAnswer records that the store answered.
func (f *Follower) recordStoreAnswer() {
	if f.storeFailing {
		f.log.Info("store regained", "revision", f.replica.at().Revision)
	}
	f.storeFailing = false
}

// storeOrigin is the origin of data that came from the store itself.
const storeOrigin = "store"

// recordOrigin records the source of the latest fresh answer and logs when it differs from the previous one.
func (f *Follower) recordOrigin(origin string, age time.Duration) {
	if f.origin != origin {
		f.log.Info("origin changed", "from", f.origin, "to", origin, "age", age.String(), "revision", f.replica.at().Revision, "reading", f.isReader.Load())
		f.origin = origin
	}
}

// watch asks the store for changes after a position. It waits for one only when the store answered the previous
// call, so that an unresponsive store blocks the instance no longer than necessary.
func (f *Follower) watch(ctx context.Context, after store.Position) ([]store.Change, store.Position, error) {
	wait := watchWait
	if f.storeFailing || f.origin != storeOrigin {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return f.source.Changes(ctx, "", after, wait)
}

// recordRestored logs that the store has gone back, and lets this instance grant nothing for the time of a lease: the store
// may name another instance as the reader of the region, whose data is not yet of the new era.
func (f *Follower) recordRestored(from, to store.Position) {
	f.log.Info("store restored", "era", from.Era, "from", from.Revision, "new_era", to.Era, "to", to.Revision)
	if f.grantsFrom.Load() != nil {
		from := time.Now().Add(readerLeaseTTL)
		f.grantsFrom.Store(&from)
	}
}

// stateLoop owns the followed state: it applies updates and expires delayed removals.
func (f *Follower) stateLoop(ctx context.Context) error {
	defer close(f.stateEnded)
	state := newFollowedState(f.codec)
	var expiry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-expiry:
		case u := <-f.updates:
			f.applyUpdate(state, u, time.Now())
		}
		now := time.Now()
		next := state.expire(now)
		expiry = nil
		if !next.IsZero() {
			expiry = time.After(next.Sub(now))
		}
		f.publish(state)
	}
}

func (f *Follower) applyUpdate(state *followedState, u update, now time.Time) {
	if u.afterOutage {
		state.outageEnded(now)
	}
	if u.full {
		reset := state.reset
		if u.restored {
			reset = state.restore
		}
		for _, failure := range reset(u.entries, now) {
			f.log.Info("entry ignored", "key", failure.entry.Key, "revision", failure.entry.Revision, "error", failure.err.Error())
		}
		f.log.Info("listed", "entries", len(u.entries))
		return
	}
	for _, c := range u.changes {
		if err := state.apply(c, now); err != nil {
			f.log.Info("entry ignored", "key", c.Key, "revision", c.Revision, "error", err.Error())
			continue
		}
		f.log.Info("changed", "key", c.Key, "revision", c.Revision, "deleted", c.Deleted, "waits", !state.records[c.Key].removeAt.IsZero())
	}
}

func (f *Follower) publish(state *followedState) {
	readers := state.readers()
	f.readers.Store(&readers)
	sizes := state.fleetSizes()
	f.fleet.Store(&sizes)
	f.publishShared(state.sharedValues())
	f.publishRollouts(state.rollouts())
	tables, problems := state.tables()
	if tables == nil {
		return
	}
	conflicts := f.Snapshot().HomeConflicts
	if old := f.Snapshot().Tables; old == nil || old.Revision != tables.Revision {
		f.log.Info("configuration in force", "version", tables.Revision, "routes", len(tables.Routes), "pools", len(tables.Pools), "workspaces", len(tables.Workspaces))
		conflicts = tables.CheckHomes()
		f.logConflicts(conflicts)
	}
	f.current.Store(&control.Snapshot{Tables: tables, Limits: state.config.Limits, Refused: problems, HomeConflicts: conflicts, Rollouts: f.rolloutRecords()})
}

// maxConflictLines bounds the log lines about one configuration, which may have a conflict for each pair of route and
// workspace.
const maxConflictLines = 20

func (f *Follower) logConflicts(conflicts table.Problems) {
	for _, p := range conflicts[:min(len(conflicts), maxConflictLines)] {
		f.log.Info("home regions without a common one", "path", p.Path, "problem", p.Message, "remedy", p.Remedy)
	}
	if more := len(conflicts) - maxConflictLines; more > 0 {
		f.log.Info("further home regions without a common one", "pairs", more)
	}
}

// rendezvousWeight orders the readers of a region for this instance (rendezvous hashing).
func (f *Follower) rendezvousWeight(id peer.InstanceID) uint64 {
	return xxhash.Sum64String(string(f.self.ID) + " " + string(id))
}

// jitter spreads the retries of instances whose calls failed at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
