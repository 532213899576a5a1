package follow

import (
	"context"
	"errors"
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

// plainCodec reads "config VERSION", "astray VERSION", which routes to a missing pool, "out DOMAIN" and "up SERVICE STATE".
type plainCodec struct{}

func (plainCodec) Decode(e store.Entry) (Fact, error) {
	words := strings.Fields(string(e.Value))
	switch {
	case len(words) == 2 && words[0] == "config":
		return Fact{Config: &Config{Version: uint64(len(words[1])), Pools: []table.Pool{{Name: "p", Discover: "p"}}}}, nil
	case len(words) == 2 && words[0] == "astray":
		return Fact{Config: &Config{Version: uint64(len(words[1])), Routes: []table.Route{{Name: "r", Pool: "q"}}, Pools: []table.Pool{{Name: "p", Discover: "p"}}}}, nil
	case len(words) == 2 && words[0] == "out":
		return Fact{FailureDomainOut: words[1]}, nil
	case len(words) == 3 && words[0] == "up":
		return Fact{Upstream: &store.ListedInstance{Service: words[1], ID: e.Key, Address: "10.0.0.1:80", Region: "north", FailureDomain: "n1", Slots: 4, Leaving: words[2] == "leaving"}}, nil
	}
	return Fact{}, errors.New("not readable")
}

// fakeLog is a store whose faults a test sets.
type fakeLog struct {
	mu      sync.Mutex
	entries map[string]store.Entry
	events  []store.Change
	rev     uint64
	oldest  uint64 // changes up to it are forgotten
	down    bool
	deaf    bool // waiting watches miss changes
	woken   chan struct{}
	calls   int
	leases  []*fakeLease
}

func newFakeLog() *fakeLog {
	return &fakeLog{entries: map[string]store.Entry{}, woken: make(chan struct{})}
}

func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
	if !l.deaf {
		close(l.woken)
		l.woken = make(chan struct{})
	}
}

func (l *fakeLog) made() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *fakeLog) put(key, value string) {
	l.set(func() {
		l.rev++
		e := store.Entry{Key: key, Value: []byte(value), Revision: l.rev}
		l.entries[key] = e
		l.events = append(l.events, store.Change{Entry: e})
	})
}

func (l *fakeLog) remove(key string) {
	l.set(func() {
		l.rev++
		delete(l.entries, key)
		l.events = append(l.events, store.Change{Entry: store.Entry{Key: key, Revision: l.rev}, Deleted: true})
	})
}

func (l *fakeLog) List(context.Context, string) ([]store.Entry, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.down {
		return nil, 0, fault.New(fault.Unavailable, "down", "wait")
	}
	var out []store.Entry
	for _, e := range l.entries {
		out = append(out, e)
	}
	return out, l.rev, nil
}

func (l *fakeLog) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	for {
		l.mu.Lock()
		woken, rev := l.woken, l.rev
		var out []store.Change
		for _, c := range l.events {
			if c.Revision > after {
				out = append(out, c)
			}
		}
		down, lost := l.down, after < l.oldest
		l.mu.Unlock()
		switch {
		case down:
			return nil, 0, fault.New(fault.Unavailable, "down", "wait")
		case lost:
			return nil, 0, fault.New(fault.NotFound, "gone", "list")
		case len(out) > 0:
			return out, rev, nil
		}
		select {
		case <-woken:
		case <-timer.C:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func start(t *testing.T, l *fakeLog) *Follower {
	f := New(Parts{Source: l, Codec: plainCodec{}}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// startWithUpstreams starts a follower of a store with two upstreams.
func startWithUpstreams(t *testing.T) (*fakeLog, *Follower) {
	l := newFakeLog()
	l.put("config", "config x")
	l.put("u1", "up p ready")
	l.put("u2", "up p ready")
	return l, start(t, l)
}

func upstreams(f *Follower) []string {
	var ids []string
	pool := f.Snapshot().Tables.Pools["p"]
	for _, u := range pool.Upstreams {
		if pool.InService(u) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Guards against an instance that stays on old tables because the store dropped
// its history without waking the watch: on dhr-plough scale-2 an instance learned
// of a new configuration only with the next one, six seconds later.
func TestDeafWatchIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.put("config", "config x")
		f := start(t, l)
		time.Sleep(time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(1))
		l.deaf = true
		l.put("config", "config xx")
		l.set(func() { l.oldest = l.rev })
		time.Sleep(3 * time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(2))
	})
}

// Guards against upstreams that drop out of service because their entries lapsed
// while the store was down, and against ones that never leave after it.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
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
		is.Equal(upstreams(f), []string{"u1", "u2"}) // both may still come back
		l.put("u2", "up p ready")
		time.Sleep(3 * time.Second)
		is.Equal(upstreams(f), []string{"u2"})
	})
}

// Guards against new work for an upstream that leaves or whose failure domain is taken out.
func TestLeavingUpstreamsAreOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, f := startWithUpstreams(t)
		time.Sleep(time.Second)
		l.put("u1", "up p leaving")
		time.Sleep(time.Second)
		is.Equal(upstreams(f), []string{"u2"})
		l.remove("u1")
		l.put("evacuation", "out n1")
		time.Sleep(time.Second)
		is.Equal(len(upstreams(f)), 0)
		l.remove("evacuation")
		time.Sleep(time.Second)
		is.Equal(upstreams(f), []string{"u2"})
	})
}

// Guards against tables that go back to an older version or vanish, against a
// broken entry that hides the good ones, and against an instance that reports
// itself ready before it has a configuration.
func TestNothingRevertsAndNothingBrokenCounts(t *testing.T) {
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
		is.Equal(upstreams(f), []string{"u1"})
		l.put("config", "config x")
		l.put("config", "nonsense")
		l.remove("config")
		time.Sleep(time.Second)
		is.Equal(f.Snapshot().Tables.Revision, uint64(3))
	})
}

// Guards against a configuration whose routes lead nowhere and that replaces one that works.
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

// Guards against removals that are not believed because of a single failed call: a leaving
// upstream would get work for 2.2 s more.
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
		is.Equal(upstreams(f), []string{"u2"})
	})
}

// Guards against a call for each change of a storm, and against calls without pause while the store is down.
func TestCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newFakeLog()
		l.put("config", "config x")
		start(t, l)
		time.Sleep(time.Second)
		before := l.made()
		for range 100 {
			l.put("config", "config xx")
			time.Sleep(30 * time.Millisecond)
		}
		is.True(l.made()-before <= 9) // 3 s of changes, one call in 0.4 s
		l.set(func() { l.down = true })
		time.Sleep(time.Second)
		before = l.made()
		time.Sleep(10 * time.Second)
		is.True(l.made()-before <= 17)
	})
}
