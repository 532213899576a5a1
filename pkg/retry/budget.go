package retry

import (
	"math/rand/v2"
	"sync/atomic"
)

// attemptTokens is the number of tokens for one extra attempt. Integer tokens avoid rounding errors
// in the ratio.
const attemptTokens = 1000

// Budget is a token bucket that limits extra attempts to a ratio of the requests. It
// starts empty, so the extra attempts never exceed the ratio of the requests seen so
// far, even in a full outage. It is lock-free.
type Budget struct {
	deposit int64
	burst   atomic.Int64
	tokens  atomic.Int64
}

// NewBudget returns a budget that allows extra attempts for percent of the requests.
// At most burst attempts accumulate while few are used, so that the start of an outage
// does not cause a surge of retries.
func NewBudget(percent float64, burst int) *Budget {
	b := &Budget{deposit: int64(percent / 100 * attemptTokens)}
	b.SetBurst(float64(burst))
	return b
}

// SetBurst changes the number of attempts that may accumulate. It may be below one where many budgets share
// a limit: such a budget allows an attempt with the probability that it holds, so that all of them together stay
// within their sum.
func (b *Budget) SetBurst(burst float64) { b.burst.Store(int64(burst * attemptTokens)) }

// Request counts a first attempt, which adds its ratio to the budget.
func (b *Budget) Request() { b.add(b.deposit) }

// Return refunds an extra attempt that was not sent.
func (b *Budget) Return() { b.add(attemptTokens) }

// Left returns the extra attempts that are left, without using any.
func (b *Budget) Left() float64 {
	return float64(min(b.tokens.Load(), b.burst.Load())) / attemptTokens
}

func (b *Budget) add(tokens int64) {
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, min(b.burst.Load(), old+tokens)) {
			return
		}
	}
}

// Take uses one extra attempt. It returns false if none is left.
func (b *Budget) Take() bool {
	if burst := b.burst.Load(); burst < attemptTokens {
		held := min(b.tokens.Swap(0), burst)
		return rand.Int64N(attemptTokens) < held
	}
	return b.take(attemptTokens)
}

// TakeSpare uses one extra attempt only if another one is left after it, or if the budget is full and holds less
// than two. It is for hedges, so that they leave one attempt for the retry of a failed request.
func (b *Budget) TakeSpare() bool {
	burst := b.burst.Load()
	return burst >= attemptTokens && b.take(min(2*attemptTokens, burst))
}

// take uses one extra attempt if at least the given number of tokens is left.
func (b *Budget) take(least int64) bool {
	for {
		old := b.tokens.Load()
		held := min(old, b.burst.Load())
		if held < least {
			return false
		}
		if b.tokens.CompareAndSwap(old, held-attemptTokens) {
			return true
		}
	}
}
