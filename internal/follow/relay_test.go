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

// storePath is one instance's way to the store. It may be refused or silent, its
// watches may miss changes, its leases may have ended, and its lists may be refused.
type storePath struct {
	*fakeLog
	refused, silent, deaf, revoked, unlisted atomic.Bool
}

func (p *storePath) blocked(ctx context.Context) error {
	if p.silent.Load() {
		limit := watchWait + callBound
		if deadline, ok := ctx.Deadline(); ok {
			limit = min(limit, time.Until(deadline))
		}
		// Ends just before the context does, so that no timer of a context fires.
		pause.For(ctx, limit-time.Nanosecond)
		return fault.New(fault.Unavailable, "silent", "wait")
	}
	if p.refused.Load() || ctx.Err() != nil {
		return fault.New(fault.Unavailable, "cut off", "wait")
	}
	return nil
}

// callBound is the timeout of the real client.
const callBound = 2 * time.Second

func (p *storePath) List(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	if err := p.blocked(ctx); err != nil {
		return nil, 0, err
	}
	if p.unlisted.Load() {
		return nil, 0, fault.New(fault.Unavailable, "busy", "wait")
	}
	return p.fakeLog.List(ctx, prefix)
}

func (p *storePath) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callBound)
	defer cancel()
	if err := p.blocked(ctx); err != nil {
		return nil, 0, err
	}
	if p.deaf.Load() {
		pause.For(ctx, wait)
		return nil, after, ctx.Err()
	}
	changes, next, err := p.fakeLog.Changes(ctx, prefix, after, wait)
	if blocked := p.blocked(ctx); blocked != nil {
		return nil, 0, blocked
	}
	return changes, next, err
}

func (p *storePath) Hold(ctx context.Context, key string, value []byte, ttl time.Duration) (store.LeaseID, error) {
	if err := p.blocked(ctx); err != nil {
		return "", err
	}
	p.mu.Lock()
	_, taken := p.entries[key]
	p.mu.Unlock()
	if taken {
		return "", fault.New(fault.Conflict, "taken", "read it")
	}
	p.put(key, string(value))
	p.mu.Lock()
	id := p.lease(key, ttl)
	p.mu.Unlock()
	return id, nil
}

// lease starts a lease; its key is removed unless it is renewed.
func (l *fakeLog) lease(key string, ttl time.Duration) store.LeaseID {
	id := store.LeaseID(strconv.Itoa(len(l.leases) + 1))
	lease := &fakeLease{ttl: ttl, timer: time.NewTimer(ttl)}
	l.leases = append(l.leases, lease)
	go func() {
		<-lease.timer.C
		l.remove(key)
	}()
	return id
}

type fakeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func (p *storePath) Renew(ctx context.Context, id store.LeaseID) error {
	if err := p.blocked(ctx); err != nil {
		return err
	}
	n, _ := strconv.Atoi(string(id))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revoked.Load() || !p.leases[n-1].timer.Stop() {
		return fault.New(fault.NotFound, "lapsed", "take it again")
	}
	p.leases[n-1].timer.Reset(p.leases[n-1].ttl)
	return nil
}

func (p *storePath) Release(_ context.Context, id store.LeaseID) error {
	n, _ := strconv.Atoi(string(id))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leases[n-1].timer.Reset(0)
	return nil
}

// fleet is a number of followers in two regions.
type fleet struct {
	log       *fakeLog
	net       *peertest.Network
	followers []*Follower
	paths     []*storePath
	ids       []peer.InstanceID
	stops     []context.CancelFunc
}

func newFleet(t *testing.T, size int) *fleet {
	fl := &fleet{log: newFakeLog(), net: peertest.New(1)}
	fl.log.put("config", "config x")
	fl.log.put("u1", "up p ready")
	fl.log.put("u2", "up p ready")
	t.Cleanup(func() {
		for _, id := range fl.ids {
			fl.net.Resume(id)
		}
		time.Sleep(time.Minute) // calls that are on their way end
	})
	for i := range size {
		id := peer.InstanceID(fmt.Sprintf("e%d/a", i))
		node := fl.net.Join(id, fmt.Sprintf("10.0.0.%d:1", i))
		path := &storePath{fakeLog: fl.log}
		self := Self{Reader: Reader{ID: id, Address: node.Address(), Region: []string{"north", "south"}[i%2]}}
		f := New(Parts{Source: path, Codec: plainCodec{}, Holder: path, Peers: node, Self: self}, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = f.Run(ctx); close(done) }()
		t.Cleanup(func() { cancel(); <-done })
		fl.followers, fl.paths, fl.ids, fl.stops = append(fl.followers, f), append(fl.paths, path), append(fl.ids, id), append(fl.stops, cancel)
	}
	time.Sleep(8 * time.Second)
	return fl
}

// reader returns the number of an instance that reads the store for others.
func (fl *fleet) reader(t *testing.T) int {
	readers := fl.readers()
	if len(readers) == 0 {
		t.Fatal("no reader")
	}
	return readers[0]
}

// readers returns the numbers of all instances that read the store for others.
func (fl *fleet) readers() (numbers []int) {
	for i, f := range fl.followers {
		if f.reading.Load() {
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

// learn changes the configuration and reports whether all instances but one have the change after the bound.
func (fl *fleet) learn(bound time.Duration, except int) bool {
	fl.log.put("config", "config xx")
	time.Sleep(bound)
	return !slices.ContainsFunc(fl.versions(except), func(v uint64) bool { return v != 2 })
}

func (fl *fleet) places() (n int) {
	fl.log.mu.Lock()
	defer fl.log.mu.Unlock()
	for key := range fl.log.entries {
		if strings.HasPrefix(key, readersPrefix) {
			n++
		}
	}
	return n
}

// Guards against calls to the store that grow with the number of instances.
func TestReadersSaveCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 40)
		is.Equal(fl.places(), 2)
		before := fl.log.made()
		time.Sleep(10 * time.Second)
		is.True(fl.log.made()-before <= 2*11) // one call a second and reader
		is.True(fl.learn(time.Second, -1))
	})
}

// Guards against instances that learn of a change too late because the reader
// that they ask has failed: they are in touch with the store and are bound by its
// acknowledgement, whatever happened to the reader.
func TestLostReaderDelaysNobody(t *testing.T) {
	const bound = 2 * time.Second
	for name, fail := range map[string]func(fl *fleet, reader int){
		"killed":             func(fl *fleet, r int) { fl.net.Crash(fl.ids[r]); fl.stops[r]() },
		"frozen":             func(fl *fleet, r int) { fl.net.Pause(fl.ids[r]); fl.paths[r].silent.Store(true) },
		"cut from the store": func(fl *fleet, r int) { fl.paths[r].silent.Store(true) },
		"turned away":        func(fl *fleet, r int) { fl.paths[r].refused.Store(true) },
		"cut from instances": func(fl *fleet, r int) {
			fl.net.SetCut(func(from, to peer.InstanceID) bool { return from == fl.ids[r] || to == fl.ids[r] })
		},
	} {
		for _, wait := range []time.Duration{0, 450 * time.Millisecond, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s before a change", name, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, 12)
					r := fl.reader(t)
					fail(fl, r)
					time.Sleep(wait)
					is.True(fl.learn(bound, r))
					time.Sleep(placeLife + claimSpread + 2*placeRenew)
					is.Equal(fl.places(), 2) // another instance has the place
				})
			})
		}
	}
}

// Guards against instances that drop living upstreams because a reader passed on
// the removals of an outage without the outage.
func TestOutageIsSeenThroughReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 12)
		fl.log.set(func() { fl.log.down = true })
		time.Sleep(5 * time.Second)
		fl.log.remove("u1")
		fl.log.remove("u2")
		fl.log.set(func() { fl.log.down = false })
		time.Sleep(1800 * time.Millisecond)
		for _, f := range fl.followers {
			is.Equal(upstreams(f), []string{"u1", "u2"})
		}
		fl.log.put("u1", "up p ready")
		time.Sleep(5 * time.Second)
		for _, f := range fl.followers {
			is.Equal(upstreams(f), []string{"u1"})
		}
	})
}

// Guards against answers that lose rows when they are compressed.
func TestPack(t *testing.T) {
	is := is.New(t)
	fl := newTail()
	var entries []store.Entry
	for i := range 100 {
		entries = append(entries, store.Entry{Key: fmt.Sprint(i), Value: []byte(strings.Repeat("v", 100)), Revision: uint64(i + 1)})
	}
	fl.reset(entries, 100, time.Now())
	f := &Follower{tail: fl}
	reply, err := f.serve(context.Background(), "a", []byte{0x18, 1}) // full = true
	is.NoErr(err)
	packed := reply.(interface{ GetPacked() []byte }).GetPacked()
	is.True(len(packed) > 0 && len(packed) < 2000)
}

// Guards against changes of one transaction, which share a revision, of which only the first is kept.
func TestTailKeepsChangesOfOneRevision(t *testing.T) {
	is := is.New(t)
	tl := newTail()
	tl.reset(nil, 5, time.Now())
	two := []store.Change{{Entry: store.Entry{Key: "a", Revision: 6}}, {Entry: store.Entry{Key: "b", Revision: 6}}}
	tl.apply(two, 6, time.Now())
	tl.apply(two, 6, time.Now()) // told twice
	changes, revision, _, gone := tl.wait(context.Background(), 5, time.Millisecond)
	is.True(!gone)
	is.Equal(len(changes), 2)
	is.Equal(revision, uint64(6))
	_, _, _, gone = tl.wait(context.Background(), 4, time.Millisecond)
	is.True(gone)
}

// Guards against instances that follow each other in a circle after their places ended, and call old knowledge fresh.
func TestFormerReadersDoNotFollowEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 12)
		fl.net.SetLatency(func(_, _ peer.InstanceID) time.Duration { return 12 * time.Millisecond })
		readers := fl.readers()
		is.Equal(len(readers), 2)
		// Both learn from their renewals that their places ended, before the store tells them of the removed keys.
		for _, r := range readers {
			fl.paths[r].revoked.Store(true)
			fl.paths[r].deaf.Store(true)
		}
		time.Sleep(2 * placeRenew)
		for _, r := range readers {
			fl.paths[r].deaf.Store(false)
			fl.log.remove(placeKey(fl.followers[r].self.Region, 0))
		}
		is.True(fl.learn(2*time.Second, -1))
	})
}

// Guards against an age that leaves out the time for which the answer waited for a change.
func TestAnswerStatesItsAgeWhenItIsGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tl := newTail()
		tl.reset(nil, 5, time.Now())
		_, _, age, _ := tl.wait(context.Background(), 5, relayWait)
		is.Equal(age, relayWait)
		ctx, cancel := context.WithTimeout(context.Background(), relayWait)
		defer cancel()
		_, _, age, _ = tl.wait(ctx, 5, time.Minute)
		is.Equal(age, 2*relayWait)
	})
}

// Guards against a reader that the store turns away and that asks nobody else, and against
// instances of its region that are turned away too and stay with that reader.
func TestRegionWithoutStoreLearnsFromOtherRegions(t *testing.T) {
	const bound = 2 * time.Second
	for name, fail := range map[string]func(p *storePath){
		"turned away": func(p *storePath) { p.refused.Store(true) },
		"silent":      func(p *storePath) { p.silent.Store(true) },
	} {
		for _, wait := range []time.Duration{0, 450 * time.Millisecond, 900 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s before a change", name, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, 12)
					for i, path := range fl.paths {
						if fl.followers[i].self.Region == "north" {
							fail(path)
						}
					}
					time.Sleep(wait)
					is.True(fl.learn(bound, -1))
				})
			})
		}
	}
}

// Guards against calls that a silent store holds long after its return: an instance that reaches
// the store for 3 s must know what was acknowledged 2 s ago.
func TestSilentStoreDelaysNobodyAfterItsReturn(t *testing.T) {
	const touch, bound = 3 * time.Second, 2 * time.Second
	for _, outage := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 3700 * time.Millisecond, 4500 * time.Millisecond, 5300 * time.Millisecond, 9100 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fl := newFleet(t, 12)
				for _, path := range fl.paths {
					path.silent.Store(true)
				}
				time.Sleep(outage)
				for _, path := range fl.paths {
					path.silent.Store(false)
				}
				time.Sleep(touch - bound)
				is.True(fl.learn(bound, -1))
			})
		})
	}
}

// Guards against a reader that lost the history and cannot read everything again, and that asks no other reader.
func TestReaderWithoutHistoryLearnsFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 12)
		fl.paths[fl.reader(t)].unlisted.Store(true)
		fl.log.set(func() { fl.log.oldest = fl.log.rev + 1 })
		time.Sleep(time.Second)
		fl.log.set(func() { fl.log.oldest = fl.log.rev })
		is.True(fl.learn(2*time.Second, -1))
	})
}

// Guards against the state of an instance that is behind, which would bring back upstreams that left.
func TestOlderStateIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t, 2)
		f := New(Parts{Codec: plainCodec{}, Peers: fl.net.Join("late/a", "10.0.0.9:1")}, logr.Discard())
		r, err := f.askAll(t.Context(), fl.ids[0])
		is.NoErr(err)
		f.after = r.revision + 1
		_, err = f.askAll(t.Context(), fl.ids[0])
		is.True(fault.Is(err, fault.Unavailable))
	})
}

// Guards against instances that still avoid the readers of other regions after an outage of the
// whole store, although the store answers those readers again and turns the own region away.
func TestRegionStaysWithoutStoreAfterOutage(t *testing.T) {
	for name, fail := range map[string]func(p *storePath, on bool){
		"turned away": func(p *storePath, on bool) { p.refused.Store(on) },
		"silent":      func(p *storePath, on bool) { p.silent.Store(on) },
	} {
		for _, outage := range []time.Duration{time.Second, 2500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s for %s", name, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fl := newFleet(t, 12)
					for _, path := range fl.paths {
						fail(path, true)
					}
					time.Sleep(outage)
					for i, path := range fl.paths {
						fail(path, fl.followers[i].self.Region == "north")
					}
					time.Sleep(time.Second)
					is.True(fl.learn(2*time.Second, -1))
				})
			})
		}
	}
}
