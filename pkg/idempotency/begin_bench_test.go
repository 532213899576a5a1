package idempotency_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// BenchmarkBeginAndFinish measures claims from Begin until the end is stored, with four
// members on a fake network without latency. It includes encoding and decoding.
func BenchmarkBeginAndFinish(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCluster(ctx)
	c.network.Delay = 0
	is := is.New(b)
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		c.start(is, name)
	}
	for {
		time.Sleep(100 * time.Millisecond)
		if open, _, _ := c.node("a1").manager.OpenedAt(); open != 0 {
			break
		}
	}
	b.ResetTimer()
	var sequence atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			k := key
			k.Identity = fmt.Sprint(sequence.Add(1))
			if r := c.node("a1").coordinator.Begin(ctx, k, digest); r.Ticket != nil {
				r.Ticket.Finish(nil)
				<-r.Ticket.Stored()
			} else {
				b.Errorf("no ticket: %+v", r)
			}
		}
	})
}
