package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Guards against sending more control bytes than the burst and the rate allow.
func TestBudgetBoundsTheBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 1000, 8000
		b := NewBudget(rate, burst)
		now, start, sent := time.Unix(1000, 0), time.Unix(1000, 0), 0
		for range rapid.IntRange(1, 200).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 400).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, burst).Draw(t, "bytes")
			if b.Take(now, n) == 0 {
				sent += n
			}
			start = earlier(start, now)
			if limit := burst + rate*now.Sub(start).Seconds() + rate; float64(sent) > limit {
				t.Fatalf("%d bytes after %v", sent, now.Sub(start))
			}
		}
	})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Guards against copies of tables delaying heartbeats.
func TestSmallMessagesPassBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBudget(1000, 160_000)
		is.NoErr(b.Wait(t.Context(), 150_000))
		bulk := make(chan time.Time, 1)
		start := time.Now()
		go func() { _ = b.Wait(context.Background(), 5_000); bulk <- time.Now() }()
		synctest.Wait()
		is.NoErr(b.Wait(t.Context(), 100)) // from the reserve, at once
		is.Equal(time.Since(start), time.Duration(0))
		is.True((<-bulk).Sub(start) >= 5*time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(fault.KindOf(b.Wait(ctx, 100_000)), fault.Exhausted)
		is.Equal(b.Refused(), uint64(1))
	})
}

// Guards against a message larger than the burst waiting forever.
func TestAMessageAboveTheBurstPassesWhenTheBucketIsFull(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1000, 2000)
	now := time.Unix(1, 0)
	is.Equal(b.Take(now, 5000), time.Duration(0))
	is.Equal(b.Take(now, 100), 3100*time.Millisecond) // waits until the negative balance is repaid
}

// Guards against pauses between connection attempts that are zero, overflow or are equal on all instances.
func TestBackoffGrowsToItsLimit(t *testing.T) {
	is := is.New(t)
	const first, longest = 50 * time.Millisecond, 5 * time.Second
	for failures, want := range map[int]time.Duration{0: first, 1: 2 * first, 6: 64 * first, 7: longest, 31: longest, 500: longest} {
		is.Equal(backoff(failures, first, longest, 0), want/2)
		is.True(backoff(failures, first, longest, 0.9) > want*9/10)
	}
}
