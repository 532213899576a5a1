package view_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/view"
)

// memberList is the member list of one instance, which may differ from that of another.
type memberList struct {
	mu   sync.Mutex
	live []view.Instance
}

func (l *memberList) Live() []view.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.live)
}

func (l *memberList) set(live []view.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = live
}

type emptyRecordStore struct{}

func (emptyRecordStore) Seal(uint64)                               {}
func (emptyRecordStore) Open(uint64)                               {}
func (emptyRecordStore) Export(time.Time, uint64) ([]byte, uint64) { return nil, 0 }
func (emptyRecordStore) Import(time.Time, []byte) error            { return nil }

// withManagers runs test with six managers of region north on a fake network under virtual time.
func withManagers(t *testing.T, test func(is *is.I, kv *fake.KV, all []*view.Manager, lists []*memberList, live []view.Instance)) {
	withNetwork(t, func(is *is.I, _ *fake.Network, kv *fake.KV, all []*view.Manager, lists []*memberList, live []view.Instance) {
		test(is, kv, all, lists, live)
	})
}

// withNetwork is like withManagers for tests that change the network.
func withNetwork(t *testing.T, test func(is *is.I, network *fake.Network, kv *fake.KV, all []*view.Manager, lists []*memberList, live []view.Instance)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		network, kv := fake.NewNetwork(), fake.NewKV()
		network.Delay = time.Millisecond
		var live []view.Instance
		for i := range 6 {
			live = append(live, view.Instance{ID: peer.InstanceID(fmt.Sprintf("i%d/1", i)), Region: "north", FailureDomain: []string{"a", "b"}[i%2]})
		}
		var all []*view.Manager
		var lists []*memberList
		for _, in := range live {
			l := &memberList{live: live}
			m, err := view.New(view.Config{Region: "north", Transport: network.Join(in.ID), Store: kv, Members: l, Records: emptyRecordStore{}})
			is.NoErr(err)
			all, lists = append(all, m), append(lists, l)
			go func() { _ = m.Run(ctx) }()
		}
		time.Sleep(10 * time.Second)
		test(is, network, kv, all, lists, live)
		cancel()
		synctest.Wait()
	})
}

// Guards against two allocators of a key, against a key without an allocator, and against
// authority that remains after a clock gap.
func TestOneMemberIsTheAllocatorOfAKey(t *testing.T) {
	withManagers(t, func(is *is.I, _ *fake.KV, all []*view.Manager, _ []*memberList, live []view.Instance) {
		var holder *view.Manager
		for i, m := range all {
			if view.Allocator(m, "north", "pool/upstream", live[i].ID, time.Now()) {
				is.True(holder == nil)
				holder = m
			}
		}
		is.True(holder != nil)
		epoch, at, ok := holder.OpenedAt()
		is.True(ok && epoch == 1 && at.Before(time.Now()))
		holder.DropAuthority(time.Now())
		_, held := holder.Authority(time.Now())
		is.True(!held)
		time.Sleep(time.Second)
		_, held = holder.Authority(time.Now())
		is.True(held)
	})
}

// Guards against two different views of one epoch when member lists differ. Several
// instances are then proposers concurrently, and responses to their writes are lost.
func TestProposersWithDifferentListsAgreeOnEachEpoch(t *testing.T) {
	withManagers(t, func(is *is.I, kv *fake.KV, all []*view.Manager, lists []*memberList, live []view.Instance) {
		seen := make(map[uint64]view.View)
		for round := range 200 {
			if round%20 == 0 {
				kv.DropResponses(1)
				for i, l := range lists {
					// Each list omits one other instance for a while.
					missing := (i + 1 + round/20) % len(live)
					if missing == i {
						missing = (i + 1) % len(live)
					}
					l.set(slices.Delete(slices.Clone(live), missing, missing+1))
				}
			}
			if round%20 == 10 {
				for _, l := range lists {
					l.set(live)
				}
			}
			time.Sleep(250 * time.Millisecond)
			for _, m := range all {
				v, ok := m.Current("north")
				is.True(ok)
				if old, known := seen[v.Epoch]; known {
					is.Equal(old.Members, v.Members)
				}
				seen[v.Epoch] = v
			}
		}
		is.True(len(seen) > 3)
		// With equal lists the view becomes stable: loaded, without predecessors.
		time.Sleep(20 * time.Second)
		v, _ := all[0].Current("north")
		is.Equal(len(v.Predecessors), 0)
	})
}
