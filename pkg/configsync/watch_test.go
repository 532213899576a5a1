package configsync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/membership"
	"github.com/turmericsail/turmericsail/pkg/peer/peertest"
	"github.com/turmericsail/turmericsail/pkg/store"
)

// failingStore is a store whose writes of the head fail with err without taking effect. If err
// is nil, they succeed.
type failingStore struct {
	store.KV
	err  error
	head []byte
}

func (r *failingStore) List(context.Context, string) ([]store.Entry, uint64, error) {
	if r.head != nil {
		return entries(PoolPrefix+"a", poolRow("a", 1, true), HeadKey, r.head), 8, nil
	}
	return entries(PoolPrefix+"a", poolRow("a", 1, true)), 7, nil
}

func (r *failingStore) Watch(ctx context.Context, _ string, _ uint64) ([]store.Entry, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func (r *failingStore) CompareAndSwap(_ context.Context, _ string, value []byte, _ uint64) (uint64, error) {
	if r.err == nil {
		r.head = value
	}
	return 0, r.err
}

// Guards against rows that are put in force although their head was not stored. Another
// watcher could then assign the same revision to other rows.
func TestNothingIsInForceBeforeTheHeadIsStored(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Conflict, fault.OutcomeUnknown, fault.Unavailable, ""} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				kv := &failingStore{}
				if kind != "" {
					kv.err = fault.New(kind, "no", "wait")
				}
				node := peertest.New(1).Join("a/1", "10.0.0.1:7000")
				tracker, err := membership.New(membership.Settings{Address: "10.0.0.1:7000", Region: "north", FailureDomain: "north-1"}, node, membership.Sources{}, logr.Discard())
				is.NoErr(err)
				y := New(Settings{}, node, tracker, kv, logr.Discard())
				ctx, cancel := context.WithCancel(t.Context())
				go tracker.Run(ctx)
				go y.Run(ctx)
				time.Sleep(20 * time.Second)
				is.Equal(y.Tables() != nil, kind == "")
				is.Equal(y.Status().Revision == 1, kind == "")
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

func Example() {
	node := peertest.New(1).Join("a/1", "10.0.0.1:7000")
	settings := membership.Settings{Address: "10.0.0.1:7000", Region: "north", FailureDomain: "north-1"}
	tracker, err := membership.New(settings, node, membership.Sources{}, logr.Discard())
	if err != nil {
		panic(err)
	}
	y := New(Settings{}, node, tracker, &failingStore{}, logr.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tracker.Run(ctx)
	go y.Run(ctx)
	<-y.Ready() // takes a few seconds, because a single instance first looks for others
	fmt.Println(y.Tables().Revision, y.Tables().Pools["a"].Slots)
	// Output: 1 1
}
