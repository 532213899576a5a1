package follow

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// storeConnection is one instance's connection to the store. It may refuse calls or never answer them,
// its watches may miss changes or be answered after their time limit, its leases may have ended, and its lists may fail.
type storeConnection struct {
	*fakeLog
	refused, unresponsive, missesChanges, leaseLost, listFails, late atomic.Bool
	writes                                                           atomic.Int64
	frozen                                                           atomic.Pointer[time.Time] // the instance stands still until then
	watchDelay                                                       time.Duration             // until a watch begins
}

// thaw waits until the instance runs.
func (c *storeConnection) thaw(ctx context.Context) {
	if until := c.frozen.Load(); until != nil {
		pause.For(context.WithoutCancel(ctx), time.Until(*until))
	}
}

func (c *storeConnection) connectionError(ctx context.Context) error {
	c.thaw(ctx)
	if c.unresponsive.Load() {
		limit := watchWait + clientTimeout
		if deadline, ok := ctx.Deadline(); ok {
			limit = min(limit, time.Until(deadline))
		}
		// Ends just before the context does, so that no timer of a context fires.
		pause.For(ctx, limit-time.Nanosecond)
		return fault.New(fault.Unavailable, "no answer", "wait")
	}
	if c.refused.Load() || ctx.Err() != nil {
		return fault.New(fault.Unavailable, "cut off", "wait")
	}
	return nil
}

// clientTimeout is the timeout of the real client.
const clientTimeout = 2 * time.Second

func (c *storeConnection) List(ctx context.Context, prefix string) ([]store.Entry, store.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	if err := c.connectionError(ctx); err != nil {
		return nil, store.Position{}, err
	}
	if c.listFails.Load() {
		return nil, store.Position{}, fault.New(fault.Unavailable, "busy", "wait")
	}
	return c.fakeLog.List(ctx, prefix)
}

func (c *storeConnection) ListStale(ctx context.Context, prefix string) ([]store.Entry, store.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	if err := c.connectionError(ctx); err != nil {
		return nil, store.Position{}, err
	}
	return c.fakeLog.ListStale(ctx, prefix)
}

func (c *storeConnection) Changes(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+clientTimeout)
	defer cancel()
	if err := c.connectionError(ctx); err != nil {
		return nil, store.Position{}, err
	}
	pause.For(ctx, c.watchDelay)
	if c.missesChanges.Load() {
		pause.For(ctx, wait)
		return nil, after, ctx.Err()
	}
	changes, next, err := c.fakeLog.Changes(ctx, prefix, after, wait)
	c.thaw(ctx)
	if c.late.Load() && err == nil {
		passTimeLimit(ctx)
		return changes, next, nil
	}
	if cut := c.connectionError(ctx); cut != nil && c.frozen.Load() == nil {
		return nil, store.Position{}, cut
	}
	return changes, next, err
}

func (c *storeConnection) Create(ctx context.Context, key string, value []byte, revision uint64, ttl time.Duration) (store.LeaseID, error) {
	if err := c.connectionError(ctx); err != nil {
		return "", err
	}
	c.mu.Lock()
	current := c.entries[key].Revision
	c.mu.Unlock()
	if current != revision {
		return "", fault.New(fault.Conflict, "taken", "read it")
	}
	c.put(key, string(value))
	c.mu.Lock()
	id := c.lease(key, ttl)
	c.mu.Unlock()
	return id, nil
}

func (c *storeConnection) Write(ctx context.Context, key string, value []byte) error {
	if err := c.connectionError(ctx); err != nil {
		return err
	}
	c.writes.Add(1)
	c.put(key, string(value))
	return nil
}

// lease starts a lease; its key is removed unless the lease is renewed.
func (l *fakeLog) lease(key string, ttl time.Duration) store.LeaseID {
	id := store.LeaseID(strconv.Itoa(len(l.leases) + 1))
	lease := &fakeLease{ttl: ttl, timer: time.NewTimer(ttl)}
	l.leases = append(l.leases, lease)
	revision := l.entries[key].Revision
	go func() {
		<-lease.timer.C
		l.mu.Lock()
		replaced := l.entries[key].Revision != revision
		l.mu.Unlock()
		if !replaced {
			l.remove(key)
		}
	}()
	return id
}

type fakeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func (c *storeConnection) Renew(ctx context.Context, id store.LeaseID) error {
	if err := c.connectionError(ctx); err != nil {
		return err
	}
	n, _ := strconv.Atoi(string(id))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseLost.Load() || !c.leases[n-1].timer.Stop() {
		return fault.New(fault.NotFound, "lease expired", "take it again")
	}
	c.leases[n-1].timer.Reset(c.leases[n-1].ttl)
	return nil
}

func (c *storeConnection) Release(ctx context.Context, id store.LeaseID) error {
	if err := c.connectionError(ctx); err != nil {
		return err
	}
	n, _ := strconv.Atoi(string(id))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases[n-1].timer.Reset(0)
	return nil
}

// fleet is a set of followers in two or more regions.
type fleet struct {
	regions     []string
	store       *fakeLog
	net         *peertest.Network
	followers   []*Follower
	connections []*storeConnection
	ids         []peer.InstanceID
	stops       []context.CancelFunc
	answers     []*lateAnswers
	watchDelay  time.Duration // of instances that start
}

func newFleet(t *testing.T, size int) *fleet { return newFleetIn(t, size, "north", "south") }

// newFleetIn starts a fleet that is spread evenly over the regions.
func newFleetIn(t *testing.T, size int, regions ...string) *fleet {
	fl := &fleet{regions: regions, store: newFakeLog(), net: peertest.New(1)}
	fl.store.put("config", "config x")
	fl.store.put("u1", "up p ready")
	fl.store.put("u2", "up p ready")
	t.Cleanup(func() {
		for _, id := range fl.ids {
			fl.net.Resume(id)
		}
		time.Sleep(time.Minute) // pending calls end
	})
	for i := range size {
		fl.start(t, i, "a")
	}
	time.Sleep(8 * time.Second)
	return fl
}

// start starts an instance with the given incarnation.
func (fl *fleet) start(t *testing.T, i int, incarnation string) {
	id := peer.InstanceID(fmt.Sprintf("e%d/%s", i, incarnation))
	node := fl.net.Join(id, fmt.Sprintf("10.0.0.%d:1", i))
	connection := &storeConnection{fakeLog: fl.store, watchDelay: fl.watchDelay}
	answers := &lateAnswers{Transport: node}
	self := Self{Reader: Reader{ID: id, Address: node.Address(), Region: fl.regions[i%len(fl.regions)]}}
	f := New(Options{Source: connection, Codec: textCodec{}, Ephemeral: connection, Peers: answers, Self: self, Writer: connection, Regions: len(fl.regions)}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	fl.followers, fl.connections, fl.ids, fl.stops = append(fl.followers, f), append(fl.connections, connection), append(fl.ids, id), append(fl.stops, cancel)
	fl.answers = append(fl.answers, answers)
}

// reader returns the index of an instance that reads the store for others.
func (fl *fleet) reader(t *testing.T) int {
	readers := fl.readers()
	if len(readers) == 0 {
		t.Fatal("no reader")
	}
	return readers[0]
}

// readers returns the indexes of all instances that read the store for others.
func (fl *fleet) readers() (numbers []int) {
	for i, f := range fl.followers {
		if f.isReader.Load() {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

func (fl *fleet) versions(except int) []uint64 {
	var out []uint64
	for i, f := range fl.followers {
		if i != except {
			out = append(out, f.Snapshot().Tables.Revision)
		}
	}
	return out
}

// changeReachesAll changes the configuration and reports whether all instances but one have the
// change after the bound.
func (fl *fleet) changeReachesAll(bound time.Duration, except int) bool {
	fl.store.put("config", "config xx")
	time.Sleep(bound)
	return !slices.ContainsFunc(fl.versions(except), func(v uint64) bool { return v != 2 })
}

func (fl *fleet) readerKeyCount() (n int) {
	fl.store.mu.Lock()
	defer fl.store.mu.Unlock()
	for key := range fl.store.entries {
		if strings.HasPrefix(key, readersPrefix) {
			n++
		}
	}
	return n
}

// Guards against calls to the store that grow with the number of instances.
func TestStoreCallsDoNotGrowWithInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 40)
		is.Equal(fl.readerKeyCount(), 2)
		before := fl.store.callCount()
		time.Sleep(10 * time.Second)
		is.True(fl.store.callCount()-before <= 2*11) // one call per second and reader
		is.True(fl.changeReachesAll(time.Second, -1))
	})
}

// Guards against instances that learn of a change too late because their reader has failed. They
// can reach the store, so the acknowledgement of a change by the store binds them whatever
// happened to the reader.
func TestReaderFailureDoesNotDelayChanges(t *testing.T) {
	const bound = 2 * time.Second
	for name, inject := range map[string]func(fl *fleet, reader int){
		"killed":                   func(fl *fleet, r int) { fl.net.Crash(fl.ids[r]); fl.stops[r]() },
		"frozen":                   func(fl *fleet, r int) { fl.net.Pause(fl.ids[r]); fl.connections[r].unresponsive.Store(true) },
		"no answer from the store": func(fl *fleet, r int) { fl.connections[r].unresponsive.Store(true) },
		"refused by the store":     func(fl *fleet, r int) { fl.connections[r].refused.Store(true) },
		"partitioned from instances": func(fl *fleet, r int) {
			fl.net.SetPartition(func(from, to peer.InstanceID) bool { return from == fl.ids[r] || to == fl.ids[r] })
		},
	} {
		for _, wait := range []time.Duration{0, 450 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s before a change", name, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, 12)
					r := fl.reader(t)
					inject(fl, r)
					time.Sleep(wait)
					is.True(fl.changeReachesAll(bound, r))
					time.Sleep(readerLeaseTTL + claimJitter + 2*readerLeaseRenewal)
					is.Equal(fl.readerKeyCount(), 2) // another instance holds the lease
				})
			})
		}
	}
}

// Guards against instances that drop running upstreams because a reader forwarded the removals of
// an outage but not the outage itself.
func TestReadersPropagateStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 12)
		fl.store.set(func() { fl.store.down = true })
		time.Sleep(5 * time.Second)
		fl.store.remove("u1")
		fl.store.remove("u2")
		fl.store.set(func() { fl.store.down = false })
		time.Sleep(1800 * time.Millisecond)
		for _, f := range fl.followers {
			is.Equal(inService(f), []string{"u1", "u2"})
		}
		fl.store.put("u1", "up p ready")
		time.Sleep(5 * time.Second)
		for _, f := range fl.followers {
			is.Equal(inService(f), []string{"u1"})
		}
	})
}

// Guards against answers that lose rows when they are compressed.
func TestLargeReplyIsCompressed(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	var entries []store.Entry
	for i := range 100 {
		entries = append(entries, store.Entry{Key: fmt.Sprint(i), Value: []byte(strings.Repeat("v", 100)), Revision: uint64(i + 1)})
	}
	r.reset(entries, store.Position{Revision: 100}, time.Now())
	f := &Follower{replica: r, counter: newInstanceCounter(), callers: newCallers()}
	reply, err := f.handleChanges(context.Background(), "a", []byte{0x18, 1}) // full = true
	is.NoErr(err)
	packed := reply.(interface{ GetPacked() []byte }).GetPacked()
	is.True(len(packed) > 0 && len(packed) < 2000)
}

// Guards against changes of one transaction, which share a revision, of which only the first is kept.
func TestReplicaKeepsChangesOfOneRevision(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.reset(nil, store.Position{Revision: 5}, time.Now())
	two := []store.Change{{Entry: store.Entry{Key: "a", Revision: 6}}, {Entry: store.Entry{Key: "b", Revision: 6}}}
	r.apply(two, store.Position{Revision: 6}, time.Now())
	r.apply(two, store.Position{Revision: 6}, time.Now()) // duplicate
	changes, position, _, gone := r.changesAfter(context.Background(), store.Position{Revision: 5}, time.Millisecond)
	is.True(!gone)
	is.Equal(len(changes), 2)
	is.Equal(position, store.Position{Revision: 6})
	_, _, _, gone = r.changesAfter(context.Background(), store.Position{Revision: 4}, time.Millisecond)
	is.True(gone)
}

// Guards against former readers that fetch from each other in a cycle and report stale data as fresh.
func TestFormerReadersDoNotFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 12)
		fl.net.SetLatency(func(_, _ peer.InstanceID) time.Duration { return 12 * time.Millisecond })
		readers := fl.readers()
		is.Equal(len(readers), 2)
		// Both learn from their renewals that their leases ended before they see the removed keys in the store.
		for _, r := range readers {
			fl.connections[r].leaseLost.Store(true)
			fl.connections[r].missesChanges.Store(true)
		}
		time.Sleep(2 * readerLeaseRenewal)
		for _, r := range readers {
			fl.connections[r].missesChanges.Store(false)
			fl.store.remove(readerKey(fl.followers[r].self.Region, 0))
		}
		is.True(fl.changeReachesAll(2*time.Second, -1))
	})
}

// Guards against an age that omits the time for which the answer waited for a change.
func TestAnswerStatesItsAgeWhenItIsGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newReplica()
		r.reset(nil, store.Position{Revision: 5}, time.Now())
		_, _, age, _ := r.changesAfter(context.Background(), store.Position{Revision: 5}, readerWait)
		is.Equal(age, readerWait)
		ctx, cancel := context.WithTimeout(context.Background(), readerWait)
		defer cancel()
		_, _, age, _ = r.changesAfter(ctx, store.Position{Revision: 5}, time.Minute)
		is.Equal(age, 2*readerWait)
	})
}

// Guards against a reader that the store refuses and that asks no other reader, and against
// instances of its region that are refused too and keep asking that reader.
func TestRegionWithoutStoreLearnsFromOtherRegions(t *testing.T) {
	const bound = 2 * time.Second
	for name, fail := range map[string]func(p *storeConnection){
		"turned away": func(p *storeConnection) { p.refused.Store(true) },
		"silent":      func(p *storeConnection) { p.unresponsive.Store(true) },
	} {
		for _, wait := range []time.Duration{0, 450 * time.Millisecond, 900 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s before a change", name, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, 12)
					for i, connection := range fl.connections {
						if fl.followers[i].self.Region == "north" {
							fail(connection)
						}
					}
					time.Sleep(wait)
					is.True(fl.changeReachesAll(bound, -1))
				})
			})
		}
	}
}

// Guards against calls that an unresponsive store holds long after its return: an instance that
// reaches the store for 3 s must know what was acknowledged 2 s ago.
func TestSilentStoreDelaysNobodyAfterItsReturn(t *testing.T) {
	const reachable, bound = 3 * time.Second, 2 * time.Second
	for _, outage := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 3700 * time.Millisecond, 4500 * time.Millisecond, 5300 * time.Millisecond, 9100 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fl := newFleet(t, 12)
				for _, connection := range fl.connections {
					connection.unresponsive.Store(true)
				}
				time.Sleep(outage)
				for _, connection := range fl.connections {
					connection.unresponsive.Store(false)
				}
				time.Sleep(reachable - bound)
				is.True(fl.changeReachesAll(bound, -1))
			})
		})
	}
}

// Guards against a reader that lost the history, cannot list the entries and asks no other reader.
func TestReaderWithoutHistoryLearnsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 12)
		fl.connections[fl.reader(t)].listFails.Store(true)
		fl.store.set(func() { fl.store.oldest = fl.store.rev + 1 })
		time.Sleep(time.Second)
		fl.store.set(func() { fl.store.oldest = fl.store.rev })
		is.True(fl.changeReachesAll(2*time.Second, -1))
	})
}

// Guards against taking the state of an instance with an older revision, which would restore upstreams that left.
func TestOlderStateIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 2)
		f := New(Options{Codec: textCodec{}, Peers: fl.net.Join("late/a", "10.0.0.9:1")}, logr.Discard())
		r, err := f.requestSnapshot(t.Context(), fl.ids[0])
		is.NoErr(err)
		f.replica.reset(nil, store.Position{Era: r.position.Era, Revision: r.position.Revision + 1}, time.Now())
		_, err = f.requestSnapshot(t.Context(), fl.ids[0])
		is.True(fault.Is(err, fault.Unavailable))
	})
}

// Guards against instances that still avoid the readers of other regions after an outage of the
// whole store, although the store answers those readers again and still refuses the own region.
func TestRegionStaysWithoutStoreAfterOutage(t *testing.T) {
	for name, fail := range map[string]func(p *storeConnection, on bool){
		"turned away": func(p *storeConnection, on bool) { p.refused.Store(on) },
		"silent":      func(p *storeConnection, on bool) { p.unresponsive.Store(on) },
	} {
		for _, outage := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", name, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, 12)
					for _, connection := range fl.connections {
						fail(connection, true)
					}
					time.Sleep(outage)
					for i, connection := range fl.connections {
						fail(connection, fl.followers[i].self.Region == "north")
					}
					time.Sleep(time.Second)
					is.True(fl.changeReachesAll(2*time.Second, -1))
				})
			})
		}
	}
}

// Guards against an instance that asks nobody while it waits to retry the store: the leases of all readers
// ended in an outage, and the last reader still knows the latest state.
func TestLastReaderIsAskedWhileStoreFails(t *testing.T) {
	is := is.New(t)
	f := New(Options{Codec: textCodec{}, Peers: peertest.New(1).Join("e0/a", "10.0.0.1:1")}, logr.Discard())
	f.readers.Store(&map[string]Reader{})
	last := Reader{ID: "e5/a", Address: "10.0.0.5:1", Region: "south"}
	f.lastReader.Store(&last)
	_, ok := f.selectReader(time.Now())
	is.True(!ok) // the store answers
	f.storeFailing = true
	r, ok := f.selectReader(time.Now())
	is.True(ok)
	is.Equal(r, last)
}

// Guards against an instance that lost the history and never lists the store, because a reader whose data is stale
// still answers it: the answer must not count as the missing list.
func TestStaleReaderIsNoSubstituteForAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleetIn(t, 12, "north", "south", "east")
		readers := fl.readers()
		is.Equal(len(readers), 3)
		for _, r := range readers {
			fl.connections[r].unresponsive.Store(true)
		}
		fl.store.put("config", "config xx")
		fl.store.set(func() { fl.store.oldest = fl.store.rev })
		time.Sleep(3500 * time.Millisecond)
		for i, f := range fl.followers {
			if !slices.Contains(readers, i) {
				is.Equal(f.Snapshot().Tables.Revision, uint64(2))
			}
		}
	})
}
