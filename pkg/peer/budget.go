package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Defaults of the control byte budget.
const (
	// DefaultControlRate is the control traffic that one instance may send, in bytes per second.
	DefaultControlRate = 4 << 10
	// DefaultControlBurst is 64 s of the default rate, in bytes. It covers one compressed copy of
	// tables with 1,000 services for an instance that starts while the store is down.
	DefaultControlBurst = 256 << 10
	// smallMessageBytes is the size up to which a message may use the reserve.
	smallMessageBytes = 1 << 10
	// reserveDivisor sets the reserve to 1/16 of the burst. Only small messages may use the
	// reserve, so that copies of tables do not delay heartbeats.
	reserveDivisor = 16
	// maxWaiting is the number of messages that may wait for the budget at the same time.
	maxWaiting = 256
	// minimumWait prevents a busy loop when a wait rounds down to zero.
	minimumWait = time.Millisecond
)

// Budget is a token bucket for control traffic. A sixteenth of the burst is
// reserved for messages of up to 1 KiB. A message larger than the burst is
// admitted when the bucket is full and makes the token count negative.
type Budget struct {
	mu      sync.Mutex
	rate    float64
	burst   float64
	tokens  float64
	last    time.Time
	waiting atomic.Int64
	delayed atomic.Uint64
	refused atomic.Uint64
}

// NewBudget returns a full bucket with a rate in bytes per second and a burst in bytes. Zero values mean the defaults.
func NewBudget(rate, burst int) *Budget {
	if rate <= 0 {
		rate = DefaultControlRate
	}
	if burst <= 0 {
		burst = DefaultControlBurst
	}
	return &Budget{rate: float64(rate), burst: float64(burst), tokens: float64(burst)}
}

// Take takes n bytes at time now and returns 0, or takes nothing and returns how long to wait before trying again.
func (b *Budget) Take(now time.Time, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	if b.last.IsZero() || now.After(b.last) {
		b.last = now
	}
	need := float64(n)
	if n > smallMessageBytes {
		need += b.burst / reserveDivisor
	}
	need = min(need, b.burst)
	if b.tokens >= need {
		b.tokens -= float64(n)
		return 0
	}
	return max(minimumWait, time.Duration((need-b.tokens)/b.rate*float64(time.Second)))
}

// Wait blocks until n bytes may be sent. It returns an Exhausted fault when
// maxWaiting messages are already waiting or when ctx ends first.
func (b *Budget) Wait(ctx context.Context, n int) error {
	d := b.Take(time.Now(), n)
	if d == 0 {
		return nil
	}
	b.delayed.Add(1)
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > maxWaiting {
		b.refused.Add(1)
		return fault.New(fault.Exhausted, "too many messages wait for the control byte budget", "send less control traffic or raise the budget")
	}
	for d > 0 {
		timer := time.NewTimer(d)
		select {
		case <-ctx.Done():
			timer.Stop()
			b.refused.Add(1)
			return fault.Wrap(fault.Exhausted, ctx.Err(), "timed out waiting for the control byte budget", "send less control traffic or raise the budget")
		case <-timer.C:
		}
		d = b.Take(time.Now(), n)
	}
	return nil
}

// Delayed returns how many messages had to wait for the budget.
func (b *Budget) Delayed() uint64 { return b.delayed.Load() }

// Refused returns how many messages the budget refused.
func (b *Budget) Refused() uint64 { return b.refused.Load() }
