package consulkv_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

type watchResult struct {
	entries []store.Entry
	index   uint64
	err     error
}

// watch starts a watch and returns once the store counts it as waiting.
func watch(t *testing.T, ctx context.Context, s *standin.Store, c *consulkv.Client, prefix string, after uint64) <-chan watchResult {
	t.Helper()
	before := s.Counts().Watches
	result := make(chan watchResult, 1)
	go func() {
		entries, index, err := c.Watch(ctx, prefix, after)
		result <- watchResult{entries, index, err}
	}()
	for s.Counts().Watches == before {
		select {
		case <-ctx.Done():
			t.Fatal("the watch did not reach the store")
		case <-time.After(time.Millisecond):
		}
	}
	return result
}

// Guards against edits and deletions that a pending watch misses, and against
// watches that are counted more than once.
func TestWatchWakesOnWriteAndDeletion(t *testing.T) {
	is := is.New(t)
	s, c, ctx := start(t, consulkv.Config{})
	first := put(t, ctx, c, "p/a", "1", 0)
	_, index, err := c.Watch(ctx, "p/", 0)
	is.NoErr(err)
	is.Equal(index, first.Revision)

	waiting := watch(t, ctx, s, c, "p/", index)
	second := put(t, ctx, c, "p/b", "2", 0)
	got := <-waiting
	is.NoErr(got.err)
	is.Equal(len(got.entries), 2)
	is.Equal(got.index, second.Revision)

	waiting = watch(t, ctx, s, c, "p/", got.index)
	is.NoErr(store.Delete(ctx, c, "p/a", first.Revision))
	after := <-waiting
	is.NoErr(after.err)
	is.Equal(len(after.entries), 1)
	is.True(after.index > got.index) // a deletion raises the index of its prefix
	is.Equal(s.Counts().Watches, uint64(2))
}

// Guards against an index that rises with changes outside the prefix: the revision
// would differ between instances that hold the same rows.
func TestIndexIsThatOfThePrefix(t *testing.T) {
	is := is.New(t)
	_, c, ctx := start(t, consulkv.Config{})
	e := put(t, ctx, c, "p/a", "1", 0)
	put(t, ctx, c, "q/a", "1", 0)
	_, index, err := c.List(ctx, "p/")
	is.NoErr(err)
	is.Equal(index, e.Revision)
	is.Equal(put(t, ctx, c, "p/a", "1", e.Revision).Revision, e.Revision) // an equal value is no change
}

// Guards against a watch that stays pending after the store went down, and one that never ends.
func TestWatchEnds(t *testing.T) {
	is := is.New(t)
	s, c, ctx := start(t, consulkv.Config{})
	e := put(t, ctx, c, "p/a", "1", 0)
	waiting := watch(t, ctx, s, c, "p/", e.Revision)
	s.SetFaults(standin.StoreFaults{Down: true})
	is.True(fault.Is((<-waiting).err, fault.Unavailable))

	s.SetFaults(standin.StoreFaults{})
	shortWatch, err := consulkv.New(consulkv.Config{Address: startServer(t, s), WatchWait: 10 * time.Millisecond})
	is.NoErr(err)
	entries, index, err := shortWatch.Watch(ctx, "p/", e.Revision)
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(index, e.Revision) // unchanged after the time-out
}

func startServer(t *testing.T, s *standin.Store) string {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.URL
}
