package quota

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

func openGate(units, fixed int) *Gate {
	now := time.Now()
	g := NewGate(now, fixed)
	g.grant(now, units, now.Add(time.Hour), false)
	return g
}

// BenchmarkPermit measures acquiring and releasing a permit: by one goroutine, by
// all cores on one gate, and with a gate for each core, as when work is spread over
// upstreams.
func BenchmarkPermit(b *testing.B) {
	use := func(g *Gate, now time.Time) {
		if p, ok := g.Acquire(now); ok {
			p.Done()
		}
	}
	b.Run("one goroutine", func(b *testing.B) {
		g := openGate(64, 0)
		for b.Loop() {
			use(g, time.Now())
		}
	})
	for _, fixed := range []int{0, 64} {
		b.Run(fmt.Sprintf("all cores, one gate, fixed %d", fixed), func(b *testing.B) {
			g := openGate(64, fixed)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					use(g, time.Now())
				}
			})
		})
	}
	b.Run("all cores, a gate each", func(b *testing.B) {
		var gates [64]*Gate
		for i := range gates {
			gates[i] = openGate(64, 0)
		}
		var next atomic.Int64
		b.RunParallel(func(pb *testing.PB) {
			g := gates[next.Add(1)%64]
			for pb.Next() {
				use(g, time.Now())
			}
		})
	})
	b.Run("refused, all cores, one gate", func(b *testing.B) {
		g := openGate(0, 0)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				use(g, time.Now())
			}
		})
	})
}

// BenchmarkAllocator measures handling one request in an allocator with 18 holders.
func BenchmarkAllocator(b *testing.B) {
	a, auth, now := readyAllocator(4)
	var ids []peer.InstanceID
	for i := range 18 {
		ids = append(ids, peer.InstanceID(fmt.Sprint(i)))
	}
	seq := uint64(0)
	for b.Loop() {
		seq++
		a.Handle(now, auth, ids[seq%18], Request{Sequence: seq, Want: 2})
	}
}
