package quarantine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
)

// fleet is a set of instances; the first letter of an ID is the region.
type fleet struct {
	mu  sync.Mutex
	ids []peer.InstanceID
}

func (f *fleet) add(id peer.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = append(f.ids, id)
}

func (f *fleet) audience(regions []string) []peer.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.ids), func(id peer.InstanceID) bool {
		return len(regions) > 0 && !slices.Contains(regions, string(id[:1]))
	})
}

func (f *fleet) start(t *testing.T, ctx context.Context, n *fake.Network, id peer.InstanceID) *Service {
	s, err := NewService(Config{Transport: n.Transport(id), InstancesIn: f.audience, Settings: settings(), Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	f.add(id)
	go func() { _ = s.Run(ctx) }()
	return s
}

func path(i int) Request { return Request{Method: "GET", Route: "r", Path: fmt.Sprint("/", i)} }

func upstream(i int) Upstream {
	return Upstream{Pool: "p", ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i)}
}

// Guards against a crashing request that takes down a third upstream, harmless
// requests being refused, instances (including new ones) that do not receive the
// refusal, and reports sent outside the home regions.
func TestOnlyCrashingRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n, f := fake.NewNetwork(), &fleet{}
		var entries []*Service
		for _, id := range []peer.InstanceID{"n1/1", "n2/1", "n3/1"} {
			entries = append(entries, f.start(t, ctx, n, id))
		}
		outside := f.start(t, ctx, n, "s1/1")
		home, crashing, losses := []string{"n"}, 3, 0
		run := func(s *Service, u, i int, concurrent ...int) {
			if i != crashing {
				s.RecordOutcome(time.Now(), time.Time{}, upstream(u), path(i), Completed, home)
				return
			}
			losses++
			for _, j := range append(concurrent, i) {
				s.RecordOutcome(time.Now(), time.Time{}, upstream(u), path(j), Cut, home)
			}
			s.RecordRefusedConnection(time.Now(), upstream(u))
		}
		run(entries[0], 1, crashing, 0, 1, 2)
		time.Sleep(1500 * time.Millisecond)
		for attempt := range 6 {
			s := entries[attempt%3]
			for i := range 5 {
				if verdict := s.Admit(time.Now(), path(i)); verdict != Refuse {
					is.True(verdict == Run || i < 4)
					run(s, 2+attempt, i)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		is.Equal(losses, 2)
		joined, newOutside := f.start(t, ctx, n, "n4/1"), f.start(t, ctx, n, "s2/1")
		time.Sleep(3 * time.Second)
		for _, s := range append(entries, joined) {
			is.Equal(s.Admit(time.Now(), path(crashing)), Refuse)
			is.Equal(s.Admit(time.Now(), path(0)), Run)
		}
		is.Equal(outside.recordCount.Load()+newOutside.recordCount.Load(), int64(0))
		cancel()
		synctest.Wait()
	})
}

// Guards against missing a crashing request that was the only request of its
// instance at the upstream, while another instance detects the loss.
func TestLossSeenElsewhereConfirmsSingleCut(t *testing.T) {
	for _, cutFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			n, f := fake.NewNetwork(), &fleet{}
			a, b := f.start(t, ctx, n, "n1/1"), f.start(t, ctx, n, "n2/1")
			for u := range 2 {
				a.RecordStartID(time.Now(), upstream(u), "first") // so that the upstream is known to the instance
				steps := []func(){
					func() { a.RecordOutcome(time.Now(), time.Time{}, upstream(u), path(9), Cut, nil) },
					func() {
						b.RecordOutcome(time.Now(), time.Time{}, upstream(u), path(2*u), Cut, nil)
						b.RecordOutcome(time.Now(), time.Time{}, upstream(u), path(2*u+1), Cut, nil)
					},
				}
				if !cutFirst {
					slices.Reverse(steps)
				}
				for _, step := range steps {
					step()
					time.Sleep(500 * time.Millisecond)
				}
			}
			for _, s := range []*Service{a, b} {
				is.Equal(s.Admit(time.Now(), path(9)), Refuse)
				is.Equal(s.Admit(time.Now(), path(0)), Serialize)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a loss that counts again when a copy of its report arrives later, as after a freeze, against a report that is
// applied although its caller has given up, and against reports of an older release, which have no ID, being ignored.
func TestLateCopiesOfALossAreNoNews(t *testing.T) {
	is := is.New(t)
	c := Config{Transport: fake.NewNetwork().Transport("a/1"), Settings: fleetSettings(), Forward: true, Log: logr.Discard()}
	s, err := NewService(c)
	is.NoErr(err)
	f := fingerprint(1)
	report := func(ctx context.Context, from peer.InstanceID, id uint64, age uint32) error {
		item := &peerpb.QuarantineItem{Fingerprint: f[:], Upstream: 7, Domain: 7, AgeMillis: age, RanMillis: 10, Event: id}
		data, err := proto.Marshal(&peerpb.QuarantineReport{Items: []*peerpb.QuarantineItem{item}})
		is.NoErr(err)
		_, err = s.handle(ctx, from, data)
		return err
	}
	losses := func() int {
		if r := s.table.records[f]; r != nil {
			return len(r.losses)
		}
		return 0
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(fault.KindOf(report(ended, "b/1", 5, 0)), fault.Unavailable)
	is.Equal(losses(), 0)
	is.NoErr(report(t.Context(), "b/1", 5, 9000))
	is.NoErr(report(t.Context(), "c/1", 5, 4000)) // a copy that waited for 5 s
	is.NoErr(report(t.Context(), "b/1", 5, 0))
	is.Equal(losses(), 1)
	is.Equal(len(s.outbox.events), 1)
	is.NoErr(report(t.Context(), "d/1", 0, 3000)) // a later loss, from an older release
	is.NoErr(report(t.Context(), "d/1", 0, 3000))
	is.Equal(losses(), 2)
	is.Equal(len(s.outbox.events), 2)
	is.True(s.outbox.events[1].id != 0)
}

// Guards against panics and unbounded memory use on malformed reports from a peer.
func FuzzQuarantineReport(f *testing.F) {
	now := time.Now()
	good, _ := proto.Marshal(&peerpb.QuarantineReport{Items: []*peerpb.QuarantineItem{newItem(now, event{f: fingerprint(1), loss: Loss{Upstream: 1, Domain: 1, At: now}})}})
	odd, _ := proto.Marshal(&peerpb.QuarantineReport{Items: []*peerpb.QuarantineItem{{Fingerprint: []byte{1}}, {Fingerprint: make([]byte, 16), AgeMillis: 1<<32 - 1, RefusedMillis: 1<<32 - 1}}})
	for _, seed := range [][]byte{nil, good, odd, {0x0a, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := NewService(Config{Transport: fake.NewNetwork().Transport("a/1"), Settings: settings(), Log: logr.Discard()})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = s.handle(t.Context(), "b/1", data)
		s.expire(time.Now())
		if s.table.Len() > s.Settings.MaxFingerprints {
			t.Fatal("too many fingerprints")
		}
	})
}

// BenchmarkAdmit measures Admit with an empty and with a filled table.
func BenchmarkAdmit(b *testing.B) {
	for _, kept := range []int{0, 100} {
		b.Run(fmt.Sprintf("%d kept", kept), func(b *testing.B) {
			s, err := NewService(Config{Transport: fake.NewNetwork().Transport("a/1"), Settings: settings(), Log: logr.Discard()})
			if err != nil {
				b.Fatal(err)
			}
			for i := range kept {
				s.table.RecordLoss(time.Now(), fingerprint(i), Loss{Upstream: 1, Domain: 1, At: time.Now()}, nil)
			}
			s.recordCount.Store(int64(kept))
			r := path(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					s.Admit(time.Now(), r)
				}
			})
		})
	}
}
