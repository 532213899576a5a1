package discovery

import (
	"context"
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

func listed(id string, leaving bool) store.ListedInstance {
	return store.ListedInstance{Service: "roster", ID: id, Address: "10.0.0.1:80", Region: "north", FailureDomain: "n1", Leaving: leaving}
}

// Guards against leaving upstreams in service, against listed upstreams without a region or that
// replace those of the row, and against changes to the published tables.
func TestApply(t *testing.T) {
	is := is.New(t)
	row := table.Upstream{ID: "u1", Address: "10.0.0.9:80", Region: "south", FailureDomain: "s1"}
	before := table.NewTables(7, nil, []table.Pool{
		{Name: "a", Discover: "roster", Upstreams: []table.Upstream{row}}, {Name: "b"},
	})
	noRegion := listed("u4", false)
	noRegion.Region = ""
	after, problems := Apply(before, Lists{"roster": {listed("u1", false), listed("u2", false), listed("u3", true), noRegion}})
	a := after.Pools["a"]
	is.Equal(len(a.Upstreams), 3)
	is.Equal(a.Upstreams[0], row)
	is.Equal(a.UpstreamsOut, []string{"u3"})
	is.Equal(len(problems), 1)
	is.Equal(after.Revision, uint64(7))
	is.Equal(len(before.Pools["a"].Upstreams), 1)
	is.Equal(Services(before), []string{"roster"})
}

type fakeLister struct {
	mu   sync.Mutex
	list []store.ListedInstance
	err  error
}

func (f *fakeLister) set(list []store.ListedInstance, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list, f.err = list, err
}

func (f *fakeLister) Instances(context.Context, string) ([]store.ListedInstance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list, f.err
}

// Guards against a pool that loses its upstreams because the list cannot be read, and against missed changes.
func TestReaderKeepsTheLastList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lister := &fakeLister{list: []store.ListedInstance{listed("u1", false)}}
		r := New(lister, logr.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		defer cancel()
		for len(<-r.Updates()) > 0 { // before any service is set
			t.Fatal("read a service that was not set")
		}
		r.SetServices([]string{"roster"})
		is.Equal(len((<-r.Updates())["roster"]), 1)
		lister.set(nil, fault.New(fault.Unavailable, "down", "wait"))
		time.Sleep(10 * readInterval)
		select {
		case lists := <-r.Updates():
			t.Fatalf("an unreadable list changed the pools: %v", lists)
		default:
		}
		lister.set([]store.ListedInstance{listed("u1", false), listed("u2", false)}, nil)
		is.Equal(len((<-r.Updates())["roster"]), 2)
	})
}
