package consulkv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/store"
	"github.com/turmericsail/turmericsail/pkg/store/consulkv"
)

// waitLimit bounds a wait for an expected event; a passing test does not depend on it.
const waitLimit = 30 * time.Second

func start(t *testing.T, cfg consulkv.Config) (*standin.Store, *consulkv.Client, context.Context) {
	t.Helper()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	cfg.Address = server.URL
	c, err := consulkv.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	t.Cleanup(cancel)
	return s, c, ctx
}

func put(t *testing.T, ctx context.Context, c *consulkv.Client, key, value string, revision uint64) store.Entry {
	t.Helper()
	if _, err := store.Put(ctx, c, key, []byte(value), revision); err != nil {
		t.Fatal(err)
	}
	e, err := c.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against an edit that overwrites or removes one that it has not read.
func TestCompareAndSwapConflicts(t *testing.T) {
	is := is.New(t)
	_, c, ctx := start(t, consulkv.Config{})
	first := put(t, ctx, c, "p/a", "1", 0)
	_, err := c.CompareAndSwap(ctx, "p/a", []byte("2"), 0)
	is.True(fault.Is(err, fault.Conflict)) // revision 0 means that the key must not exist
	second := put(t, ctx, c, "p/a", "2", first.Revision)
	is.True(second.Revision > first.Revision)
	_, err = c.CompareAndSwap(ctx, "p/a", []byte("3"), first.Revision)
	is.True(fault.Is(err, fault.Conflict))
	is.True(fault.Is(c.Delete(ctx, "p/a", first.Revision), fault.Conflict))
	is.True(fault.Is(c.Delete(ctx, "p/a", 0), fault.Conflict)) // 0 deletes nothing
	is.NoErr(c.Delete(ctx, "p/a", second.Revision))
	_, err = c.Get(ctx, "p/a")
	is.True(fault.Is(err, fault.NotFound))
}

// Guards against a write with a lost answer that is reported as failed, repeated without reading back,
// or reported as done without proof.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	s, c, ctx := start(t, consulkv.Config{})
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	_, err := c.CompareAndSwap(ctx, "p/a", []byte("1"), 0)
	is.True(fault.Is(err, fault.OutcomeUnknown))
	e, err := c.Get(ctx, "p/a") // the write took effect
	is.NoErr(err)
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	revision, err := store.Put(ctx, c, "p/a", []byte("2"), e.Revision)
	is.NoErr(err) // resolved by reading back
	is.True(revision > e.Revision)
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	is.NoErr(store.Delete(ctx, c, "p/a", revision))
	_, err = c.Get(ctx, "p/a")
	is.True(fault.Is(err, fault.NotFound))
}

// Guards against a lost answer hiding that another edit came first.
func TestLostAnswerOfALosingEdit(t *testing.T) {
	is := is.New(t)
	s, c, ctx := start(t, consulkv.Config{})
	old := put(t, ctx, c, "p/a", "1", 0)
	put(t, ctx, c, "p/a", "2", old.Revision)
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	_, err := store.Put(ctx, c, "p/a", []byte("3"), old.Revision)
	is.True(fault.Is(err, fault.Conflict))
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	is.True(fault.Is(store.Delete(ctx, c, "p/a", old.Revision), fault.Conflict))
	e, err := c.Get(ctx, "p/a")
	is.NoErr(err)
	is.Equal(string(e.Value), "2")
}

// Guards against errors of an unreachable store that claim an outcome which is not known.
func TestDownAndSlow(t *testing.T) {
	is := is.New(t)
	s, c, ctx := start(t, consulkv.Config{Timeout: 50 * time.Millisecond})
	s.SetFaults(standin.StoreFaults{Down: true})
	_, err := c.Get(ctx, "p/a")
	is.True(fault.Is(err, fault.Unavailable))
	_, err = c.CompareAndSwap(ctx, "p/a", nil, 0)
	is.True(fault.Is(err, fault.OutcomeUnknown)) // a 5xx answer to a write proves nothing
	s.SetFaults(standin.StoreFaults{DelayMS: 60_000})
	_, _, err = c.List(ctx, "p/")
	is.True(fault.Is(err, fault.Unavailable))
	_, err = c.CompareAndSwap(ctx, "p/a", nil, 0)
	is.True(fault.Is(err, fault.OutcomeUnknown))
	refused, err := consulkv.New(consulkv.Config{Address: "http://127.0.0.1:1"})
	is.NoErr(err)
	_, err = refused.CompareAndSwap(ctx, "p/a", nil, 0)
	is.True(fault.Is(err, fault.Unavailable)) // no connection: nothing can have taken effect
}

// Guards against error statuses of the store that the client treats as data.
func TestUnexpectedStatus(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "Permission denied", http.StatusForbidden)
	}))
	defer server.Close()
	c, err := consulkv.New(consulkv.Config{Address: server.URL})
	is.NoErr(err)
	_, err = c.Get(t.Context(), "a")
	is.True(fault.Is(err, fault.Invalid))
	_, _, err = c.List(t.Context(), "a")
	is.True(fault.Is(err, fault.Invalid))
	is.True(fault.Is(c.Renew(t.Context(), "s"), fault.Invalid))
	_, err = c.Instances(t.Context(), "a")
	is.True(fault.Is(err, fault.Invalid))
}
