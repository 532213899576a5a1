package coldstart

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/turmericsail/turmericsail/internal/fake"
	"github.com/turmericsail/turmericsail/pkg/peer"
	"github.com/turmericsail/turmericsail/pkg/peer/peerpb"
	"github.com/turmericsail/turmericsail/pkg/quota"
)

type roles struct{ epoch atomic.Uint64 }

func (r *roles) Allocator(string) (peer.InstanceID, bool) { return "a/1", true }

func (r *roles) Authority(string) quota.Authority { return r }

func (r *roles) Held(time.Time) (uint64, time.Time, bool) { return r.epoch.Load(), time.Time{}, true }

func newServer(n *fake.Network, r quota.Roles) (*Server, error) {
	ramps := func(k Key) (Ramp, bool) { return ramp, k.Pool == "p" }
	return NewServer(n.Transport("a/1"), r, ramps, DefaultSettings(), logr.Discard())
}

// Guards against instances that do not learn that an upstream is warm, or keep sending
// at full rate after another instance saw a new start.
func TestInstancesFollowTheAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		n, r := fake.NewNetwork(), &roles{}
		server, err := newServer(n, r)
		is.NoErr(err)
		go func() { _ = server.Run(ctx) }()
		key := Key{"p", "u1"}
		var meters []*Meter
		for _, id := range []peer.InstanceID{"b/1", "c/1"} {
			c, err := NewClient(n.Transport(id), r, nil, DefaultSettings(), logr.Discard())
			is.NoErr(err)
			go func() { _ = c.Run(ctx) }()
			meters = append(meters, c.Meter(key))
		}
		serve := func(start string, m *Meter) {
			for range 10 {
				m.RecordAnswer(Answer{StartID: start, Good: true, Latency: 5 * time.Millisecond})
			}
			time.Sleep(300 * time.Millisecond)
		}
		for range 8 {
			serve("s1", meters[0])
			serve("s1", meters[1])
		}
		is.True(meters[0].Warm() && meters[1].Warm())
		r.epoch.Store(5) // other allocators in between: the state is restored from the reports
		time.Sleep(6 * time.Second)
		serve("s1", meters[0])
		time.Sleep(6 * time.Second)
		is.True(meters[0].Warm())
		meters[0].RecordAnswer(Answer{StartID: "s2", Good: true})
		is.True(!meters[0].Warm())
		time.Sleep(500 * time.Millisecond)
		is.True(!meters[1].Warm()) // notified by the allocator
		limit, ok := server.Limit(key)
		is.True(ok)
		is.Equal(limit, 1)
		cancel()
		synctest.Wait()
	})
}

// Guards against panics and invalid states after any batch of a peer.
func FuzzColdStartReport(f *testing.F) {
	good, _ := proto.Marshal(&peerpb.ColdStartReport{Batches: []*peerpb.ColdStartBatch{batchToMessage(Key{"p", "u"}, Batch{Sequence: 1, Good: 9})}})
	huge, _ := proto.Marshal(&peerpb.ColdStartReport{Batches: []*peerpb.ColdStartBatch{{Pool: "p", Good: 1<<32 - 1, Bad: 1<<32 - 1, Level: 1<<32 - 1, MeanLatencyMicros: 1<<64 - 1}}})
	for _, seed := range [][]byte{nil, good, huge, {0x0a, 0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := newServer(fake.NewNetwork(), &roles{})
		if err != nil {
			t.Fatal(err)
		}
		reply, err := s.handle(t.Context(), "b/1", data)
		if err != nil {
			return
		}
		for _, m := range reply.(*peerpb.ColdStartReply).States {
			if m.Limit < 1 || m.Limit > uint32(ramp.Slots) {
				t.Fatalf("limit %d", m.Limit)
			}
		}
	})
}

// BenchmarkMeter measures counting an answer and reading the state, on all cores.
func BenchmarkMeter(b *testing.B) {
	m := NewMeter(DefaultSettings())
	b.Run("answer", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				m.RecordAnswer(Answer{StartID: "s1", Good: true, Latency: time.Millisecond})
			}
		})
	})
	b.Run("warm", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				m.Warm()
			}
		})
	})
}
