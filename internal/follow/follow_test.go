package follow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// textCodec decodes "config VERSION", "astray VERSION" (whose route names a missing pool), "out DOMAIN"
// and "up SERVICE STATE".
type textCodec struct{}

func (textCodec) Decode(e store.Entry) (DecodedEntry, error) {
	words := strings.Fields(string(e.Value))
	switch {
	case len(words) == 2 && words[0] == "config":
		return DecodedEntry{Config: &Config{Version: uint64(len(words[1])), Pools: []table.Pool{{Name: "p", Discover: "p"}}}}, nil
	case len(words) == 2 && words[0] == "astray":
		return DecodedEntry{Config: &Config{Version: uint64(len(words[1])), Routes: []table.Route{{Name: "r", Pool: "q"}}, Pools: []table.Pool{{Name: "p", Discover: "p"}}}}, nil
	case len(words) == 2 && words[0] == "out":
		return DecodedEntry{EvacuatedFailureDomain: words[1]}, nil
	case len(words) == 3 && words[0] == "up":
		return DecodedEntry{Upstream: &store.ListedInstance{Service: words[1], ID: e.Key, Address: "10.0.0.1:80", Region: "north", FailureDomain: "n1", Slots: 4, Leaving: words[2] == "leaving"}}, nil
	}
	return DecodedEntry{}, errors.New("not readable")
}

// fakeLog is an in-memory store.ChangeLog with faults that a test sets.
type fakeLog struct {
	mu          sync.Mutex
	entries     map[string]store.Entry
	events      []store.Change
	rev         uint64
	era         uint64
	oldest      uint64 // changes up to this revision are dropped
	down        bool
	dropWakeups bool // changes do not wake waiting watches
	woken       chan struct{}
	calls       int
	staleCalls  int
	staleBy     uint64      // how many revisions stale lists are behind
	stalePages  []stalePage // the pages of stale lists, or none for a single page that is behind by staleBy
	leases      []*fakeLease
}

// stalePage is a page of a stale list: it has the keys from the given one to the first key of the next page, as they were
// some revisions ago.
type stalePage struct {
	first  string
	behind uint64
}

func newFakeLog() *fakeLog {
	return &fakeLog{entries: map[string]store.Entry{}, era: 1, woken: make(chan struct{})}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if !l.dropWakeups {
		close(l.woken)
		l.woken = make(chan struct{})
	}
}

func (l *fakeLog) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *fakeLog) put(key, value string) {
	l.set(func() {
		l.rev++
		e := store.Entry{Key: key, Value: []byte(value), Revision: l.rev, Era: l.era}
		l.entries[key] = e
		l.events = append(l.events, store.Change{Entry: e})
	})
}

func (l *fakeLog) remove(key string) {
	l.set(func() {
		l.rev++
		delete(l.entries, key)
		l.events = append(l.events, store.Change{Entry: store.Entry{Key: key, Revision: l.rev, Era: l.era}, Deleted: true})
	})
}

func (l *fakeLog) List(context.Context, string) ([]store.Entry, store.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return nil, store.Position{}, fault.New(fault.Unavailable, "down", "wait")
	}
	var out []store.Entry
	for _, e := range l.entries {
		out = append(out, e)
	}
	return out, store.Position{Era: l.era, Revision: l.rev}, nil
}

func (l *fakeLog) ListStale(_ context.Context, prefix string) ([]store.Entry, store.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.staleCalls++
	if l.down {
		return nil, store.Position{}, fault.New(fault.Unavailable, "down", "wait")
	}
	pages := l.stalePages
	if pages == nil {
		pages = []stalePage{{behind: l.staleBy}}
	}
	var read [][]store.Entry
	for i, p := range pages {
		state := map[string]store.Entry{}
		for _, c := range l.events {
			switch {
			case c.Revision+p.behind > l.rev || !strings.HasPrefix(c.Key, prefix):
			case c.Key < p.first || i+1 < len(pages) && c.Key >= pages[i+1].first:
			case c.Deleted:
				delete(state, c.Key)
			default:
				state[c.Key] = c.Entry
			}
		}
		read = append(read, slices.Collect(maps.Values(state)))
	}
	return slices.Concat(read...), store.StaleListPosition(read...), nil
}

func (l *fakeLog) Changes(ctx context.Context, _ string, after store.Position, wait time.Duration) ([]store.Change, store.Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	for {
		l.mu.Lock()
		woken, position := l.woken, store.Position{Era: l.era, Revision: l.rev}
		var out []store.Change
		for _, c := range l.events {
			if c.Revision > after.Revision {
				out = append(out, c)
			}
		}
		down, lost := l.down, after.Revision < l.oldest || after.Revision > l.rev || after.Era != l.era
		l.mu.Unlock()
		switch {
		case down:
			return nil, store.Position{}, fault.New(fault.Unavailable, "down", "wait")
		case lost:
			return nil, store.Position{}, fault.New(fault.NotFound, "gone", "list")
		case len(out) > 0:
			return out, position, nil
		}
		select {
		case <-woken:
		case <-timer.C:
			return nil, position, nil
		case <-ctx.Done():
			return nil, store.Position{}, ctx.Err()
		}
	}
}

func start(t *testing.T, l *fakeLog) *Follower {
	f := New(Options{Source: l, Codec: textCodec{}}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// startWithUpstreams starts a follower of a store with a configuration and two upstreams.
func startWithUpstreams(t *testing.T) (*fakeLog, *Follower) {
	l := newFakeLog()
	l.put("config", "config x")
	l.put("u1", "up p ready")
	l.put("u2", "up p ready")
	return l, start(t, l)
}

func inService(f *Follower) []string {
	var ids []string
	pool := f.Snapshot().Tables.Pools["p"]
	for _, u := range pool.Upstreams {
		if pool.InService(u) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Guards against an instance that keeps old tables because the store dropped its history without
// waking the watch. Without a bound on the watch, an instance learned of a new configuration only
// with the following one, six seconds later.
func TestWatchRecoversFromMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.put("config", "config x")
		f := start(t, l)
		time.Sleep(time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(1))
		l.dropWakeups = true
		l.put("config", "config xx")
		l.set(func() { l.oldest = l.rev })
		time.Sleep(3 * time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(2))
	})
}

// Guards against upstreams that are taken out of service because their leases expired while the
// store was down, and against ones that are never removed after the outage.
func TestLapsedEntriesAreKeptDuringGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, f := startWithUpstreams(t)
		time.Sleep(time.Second)
		l.set(func() { l.down = true })
		time.Sleep(4 * time.Second)
		l.remove("u1")
		l.remove("u2")
		l.set(func() { l.down = false })
		time.Sleep(1900 * time.Millisecond)
		is.Equal(inService(f), []string{"u1", "u2"}) // both may still register again
		l.put("u2", "up p ready")
		time.Sleep(3 * time.Second)
		is.Equal(inService(f), []string{"u2"})
	})
}

// Guards against new requests to an upstream that is leaving or whose failure domain is evacuated.
func TestLeavingUpstreamsAreOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, f := startWithUpstreams(t)
		time.Sleep(time.Second)
		l.put("u1", "up p leaving")
		time.Sleep(time.Second)
		is.Equal(inService(f), []string{"u2"})
		l.remove("u1")
		l.put("evacuation", "out n1")
		time.Sleep(time.Second)
		is.Equal(len(inService(f)), 0)
		l.remove("evacuation")
		time.Sleep(time.Second)
		is.Equal(inService(f), []string{"u2"})
	})
}

// Guards against tables that revert to an older version or disappear, against an invalid entry
// that hides the valid ones, and against an instance that is ready before it has a configuration.
func TestInvalidOrOlderEntriesDoNotReplaceConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.put("u1", "up p ready")
		l.put("u2", "nonsense")
		f := start(t, l)
		time.Sleep(time.Second)
		is.True(!f.Ready())
		l.put("config", "config xxx")
		time.Sleep(time.Second)
		is.True(f.Ready())
		is.Equal(inService(f), []string{"u1"})
		l.put("config", "config x")
		l.put("config", "nonsense")
		l.remove("config")
		time.Sleep(time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(3))
	})
}

// Guards against a configuration with routes to missing pools that replaces a valid one.
func TestConfigWithMissingPoolIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		f := start(t, l)
		l.put("config", "config x")
		time.Sleep(time.Second)
		l.put("config", "astray xx")
		time.Sleep(time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(1))
		l.put("config", "config xxx")
		time.Sleep(time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(3))
	})
}

// Guards against removals that are delayed because of a single failed call: a leaving upstream
// would get requests for another 2.2 s.
func TestShortRefusalDoesNotDelayRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, f := startWithUpstreams(t)
		time.Sleep(5 * time.Second)
		l.set(func() { l.down = true })
		time.Sleep(100 * time.Millisecond)
		l.set(func() { l.down = false })
		time.Sleep(500 * time.Millisecond)
		l.remove("u1")
		time.Sleep(time.Second)
		is.Equal(inService(f), []string{"u2"})
	})
}

// Guards against one call for each change of a burst, and against calls without pause while the store is down.
func TestCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.put("config", "config x")
		start(t, l)
		time.Sleep(time.Second)
		before := l.callCount()
		for range 100 {
			l.put("config", "config xx")
			time.Sleep(30 * time.Millisecond)
		}
		is.True(l.callCount()-before <= 9) // 3 s of changes, one call per 0.4 s
		l.set(func() { l.down = true })
		time.Sleep(time.Second)
		before = l.callCount()
		time.Sleep(10 * time.Second)
		is.True(l.callCount()-before <= 17)
	})
}
