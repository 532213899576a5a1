package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/discovery"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// fakeSource provides the tables that set was called with.
type fakeSource struct {
	mu      sync.Mutex
	tables  *table.Tables
	refused table.Problems
	changed chan struct{}
}

func (f *fakeSource) set(revision uint64, row string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tables, f.refused = table.FromRows("p/", poolRows(row), revision)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeSource) Tables() *table.Tables {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tables
}

func (f *fakeSource) Problems() table.Problems {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

func (f *fakeSource) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

type noMembers struct{}

func (noMembers) View() *membership.View   { return &membership.View{} }
func (noMembers) Changed() <-chan struct{} { return nil }

type fakeDiscovery struct {
	updates chan discovery.Lists
}

func (f *fakeDiscovery) SetServices([]string)            {}
func (f *fakeDiscovery) Updates() <-chan discovery.Lists { return f.updates }

func startLoop(t *testing.T) (*fakeSource, *fakeDiscovery, *Loop) {
	source, found := &fakeSource{changed: make(chan struct{})}, &fakeDiscovery{make(chan discovery.Lists)}
	l := New(source, noMembers{}, found, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = l.Run(ctx) }()
	return source, found, l
}

func poolRows(row string) []store.Entry {
	return []store.Entry{{Key: "p/pools/a", Value: []byte(row)}}
}

const poolWithDiscover = `{"name":"a","slots":1,"connections":1,"discover":"roster"}`

// Guards against an instance that reports itself ready before it has read the list of a pool, and then
// refuses the requests of that pool.
func TestFirstSnapshotWaitsForTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, found, l := startLoop(t)
		source.set(3, poolWithDiscover)
		synctest.Wait()
		is.True(l.Snapshot().Tables == nil)
		found.updates <- discovery.Lists{"roster": {{ID: "u", Address: "10.0.0.1:80", Region: "r", FailureDomain: "f"}}}
		synctest.Wait()
		is.Equal(len(l.Snapshot().Tables.Pools["a"].Upstreams), 1)
		is.Equal(l.Snapshot().Tables.Revision, uint64(3))
	})
}

// Guards against an unreadable list that keeps every pool out of service.
func TestUnreadableListOnlyDelaysFirstSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, _, l := startLoop(t)
		source.set(3, poolWithDiscover)
		time.Sleep(firstListTimeout)
		synctest.Wait()
		is.True(l.Snapshot().Tables != nil)
	})
}

// Guards against a lower revision that replaces a higher one, and against a refused row that is not reported.
func TestRevisionNeverFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, _, l := startLoop(t)
		source.set(9, `{"name":"a","slots":1,"connections":1}`)
		synctest.Wait()
		source.set(4, `{"name":"a","slots":2,"connections":1}`)
		synctest.Wait()
		is.Equal(l.Snapshot().Tables.Revision, uint64(9))
		source.set(10, `{"name":"a","slots":0,"connections":1}`)
		synctest.Wait()
		is.Equal(l.Snapshot().Tables.Revision, uint64(10))
		is.Equal(l.Snapshot().Refused[0].Path, "p/pools/a $.slots")
	})
}
