package follow

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// logCopy is a copy of a fakeLog.
type logCopy struct {
	entries map[string]store.Entry
	events  []store.Change
	rev     uint64
}

func (l *fakeLog) copy() logCopy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return logCopy{maps.Clone(l.entries), slices.Clone(l.events), l.rev}
}

// restore replaces everything by a copy, in a new era.
func (l *fakeLog) restore(c logCopy) {
	l.set(func() {
		l.entries, l.events, l.rev = map[string]store.Entry{}, nil, c.rev
		l.era++
		for key, e := range c.entries {
			e.Era = l.era
			l.entries[key] = e
		}
		for _, e := range c.events {
			e.Era = l.era
			l.events = append(l.events, e)
		}
	})
}

// Guards against instances that miss changes after the store was restored, take back a configuration or never find a
// reader again, and against two that grant for a region at once, while some instances reach the store and some
// readers only.
func TestFleetFollowsARestoredStore(t *testing.T) {
	const bound = 2 * time.Second
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 32))
				fl := newFleetIn(t, 12, "north", "central", "south")
				fl.net.SetLatency(func(_, _ peer.InstanceID) time.Duration { return 12 * time.Millisecond })
				time.Sleep(time.Duration(500+random.IntN(9000)) * time.Millisecond)
				backup := fl.store.copy()
				version := 1
				write := func() {
					version++
					fl.store.put("config", "config "+strings.Repeat("x", version))
				}
				churn := func(n int) {
					for range n {
						fl.store.put("u2", "up p ready")
						time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
					}
				}
				write()
				churn(random.IntN(30))
				time.Sleep(bound)
				highest := make([]uint64, len(fl.followers))
				sample := func() {
					granters := map[string]int{}
					for i, f := range fl.followers {
						v := f.Snapshot().Tables.Revision
						if v < highest[i] {
							t.Errorf("instance %d went back from version %d to %d", i, highest[i], v)
						}
						highest[i] = v
						if f.MayGrant(time.Now()) {
							granters[f.self.Region]++
						}
					}
					for region, n := range granters {
						if n > 1 {
							t.Errorf("%d instances grant for %s", n, region)
						}
					}
				}
				watch := func(d time.Duration) {
					for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
						sample()
					}
				}
				fl.store.set(func() { fl.store.down = true })
				fl.store.restore(backup)
				watch(time.Duration(100+random.IntN(3000)) * time.Millisecond)
				fl.store.set(func() { fl.store.down = false })
				for _, c := range fl.connections {
					c.refused.Store(random.IntN(4) == 0)
				}
				watch(time.Duration(random.IntN(1000)) * time.Millisecond)
				fl.store.put("config", "config "+strings.Repeat("x", version)) // the operator writes it again
				churn(random.IntN(30))
				for _, c := range fl.connections {
					c.refused.Store(false)
				}
				watch(3 * time.Second)
				for range 4 {
					write()
					watch(bound)
					is.Equal(slices.Min(fl.versions(-1)), uint64(version))
				}
				watch(10 * time.Second)
				is.Equal(fl.readerKeyCount(), 3)
				is.Equal(len(fl.readers()), 3)
			})
		})
	}
}

// startCodec decodes a fourth word of an upstream as the time of its start.
type startCodec struct{ textCodec }

func (c startCodec) Decode(e store.Entry) (DecodedEntry, error) {
	words := strings.Fields(string(e.Value))
	if len(words) != 4 {
		return c.textCodec.Decode(e)
	}
	e.Value = []byte(strings.Join(words[:3], " "))
	d, err := c.textCodec.Decode(e)
	if err == nil {
		d.Upstream.StartMillis, err = strconv.ParseInt(words[3], 10, 64)
	}
	return d, err
}

// Guards against a copy that returns an upstream that has left, replaces a process by an older one, ends an evacuation or
// removes upstreams, until the operator and the upstreams have written again.
func TestCopyTakesNothingBack(t *testing.T) {
	const pool = "p"
	now := time.Unix(1000, 0)
	entry := func(key, value string, era, revision uint64) store.Entry {
		return store.Entry{Key: key, Value: []byte(value), Revision: revision, Era: era}
	}
	for _, c := range []struct {
		name                 string
		before, copy, after  map[string]string // values by key; an empty one in before or after is removed
		inService, afterward []string
	}{
		{"an upstream leaves", map[string]string{"u": "up p leaving 1"}, map[string]string{"u": "up p ready 1"}, nil, nil, nil},
		{"it has written again", map[string]string{"u": "up p leaving 1"}, map[string]string{"u": "up p ready 1"}, map[string]string{"u": "up p ready 2"}, nil, []string{"u"}},
		{"an upstream is gone", map[string]string{"u": ""}, map[string]string{"u": "up p ready 1"}, nil, nil, nil},
		{"it is back", map[string]string{"u": ""}, map[string]string{"u": "up p ready 1"}, map[string]string{"u": "up p ready 1"}, nil, []string{"u"}},
		{"a newer process", map[string]string{"u": "up p ready 5"}, map[string]string{"u": "up p leaving 1"}, nil, []string{"u"}, []string{"u"}},
		{"an upstream is new", map[string]string{"u": "up p ready 1"}, nil, nil, []string{"u"}, nil},
		{"it writes again", map[string]string{"u": "up p ready 1"}, nil, map[string]string{"u": "up p ready 1"}, []string{"u"}, []string{"u"}},
		{"an evacuation", map[string]string{"u": "up p ready 1", "out": "out n1"}, map[string]string{"u": "up p ready 1"}, nil, nil, []string{"u"}},
		{"it is written again", map[string]string{"u": "up p ready 1", "out": "out n1"}, map[string]string{"u": "up p ready 1"}, map[string]string{"out": "out n1"}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newFollowedState(startCodec{})
			s.reset([]store.Entry{entry("config", "config x", 1, 1), entry("u", "up p ready 1", 1, 2)}, now)
			apply := func(values map[string]string, era, revision uint64) {
				for key, value := range values {
					is.NoErr(s.apply(store.Change{Entry: entry(key, value, era, revision), Deleted: value == ""}, now))
					revision++
				}
			}
			inService := func() (ids []string) {
				tables, _ := s.tables()
				p := tables.Pools[pool]
				for _, u := range p.Upstreams {
					if p.InService(u) {
						ids = append(ids, u.ID)
					}
				}
				return ids
			}
			apply(c.before, 1, 3)
			entries := []store.Entry{entry("config", "config x", 2, 1)}
			for key, value := range c.copy {
				entries = append(entries, entry(key, value, 2, 2))
			}
			is.Equal(len(s.restore(entries, now)), 0)
			is.Equal(inService(), c.inService)
			apply(c.after, 2, 3)
			s.expire(now.Add(removalGrace))
			is.Equal(inService(), c.afterward)
		})
	}
}

// Guards against regions that no instance reads for after the store was restored: from a copy without the readers' keys
// whose leases it still renews, or with keys whose leases it has forgotten.
func TestReadersTakeTheirPlacesInARestoredStore(t *testing.T) {
	const (
		bound      = 2 * time.Second
		settleTime = 3 * time.Second
		lastTime   = 12 * time.Second
	)
	for _, c := range []struct {
		name                       string
		withoutKeys, forgetsLeases bool
	}{
		{"without keys", true, false},
		{"without leases", false, true},
		{"with both", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fl := newFleetIn(t, 9, "north", "central", "south")
				time.Sleep(5 * time.Second)
				is.Equal(len(fl.readers()), 3)
				backup := fl.store.copy()
				if c.withoutKeys {
					isKey := func(key string) bool { return strings.HasPrefix(key, readersPrefix) }
					maps.DeleteFunc(backup.entries, func(key string, _ store.Entry) bool { return isKey(key) })
					backup.events = slices.DeleteFunc(backup.events, func(e store.Change) bool { return isKey(e.Key) })
				}
				fl.store.put("u2", "up p ready")
				time.Sleep(time.Second)
				fl.store.restore(backup)
				var forgotten []*fakeLease
				if c.forgetsLeases {
					forgotten = slices.Clone(fl.store.leases)
				}
				for _, l := range forgotten {
					l.timer.Stop()
				}
				defer func() {
					for _, l := range forgotten {
						l.timer.Reset(0)
					}
				}()
				is.True(fl.changeReachesAll(settleTime+bound, -1))
				time.Sleep(lastTime)
				is.Equal(fl.readerKeyCount(), 3)
				is.Equal(len(fl.readers()), 3)
				for _, i := range fl.readers() {
					f := fl.followers[i]
					holder, _ := f.Granter(f.self.Region)
					is.Equal(holder, f.self.ID)
				}
			})
		})
	}
}

// Guards against changes of one era that are given to an instance whose position is of another.
func TestReplicaHasNoChangesOfAnotherEra(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.reset(nil, store.Position{Era: 2, Revision: 5}, time.Now())
	r.apply([]store.Change{{Entry: store.Entry{Key: "a", Revision: 9, Era: 2}}}, store.Position{Era: 2, Revision: 9}, time.Now())
	for _, c := range []struct {
		after store.Position
		gone  bool
	}{
		{store.Position{Era: 2, Revision: 7}, false},
		{store.Position{Era: 1, Revision: 7}, true},
		{store.Position{Era: 3, Revision: 7}, true},
	} {
		_, _, _, gone := r.changesAfter(t.Context(), c.after, 0)
		is.Equal(gone, c.gone)
	}
}
