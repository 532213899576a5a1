package retry

import "sync/atomic"

// attemptTokens is the number of tokens for one extra attempt. Integer tokens avoid rounding errors
// in the ratio.
const attemptTokens = 1000

// Budget is a token bucket that limits extra attempts to a ratio of the requests. It
// starts empty, so the extra attempts never exceed the ratio of the requests seen so
// far, even in a full outage. It is lock-free.
type Budget struct {
	deposit int64
	burst   int64
	tokens  atomic.Int64
}

// NewBudget returns a budget that allows extra attempts for percent of the requests.
// At most burst attempts accumulate while few are used, so that the start of an outage
// does not cause a surge of retries.
func NewBudget(percent float64, burst int) *Budget {
	return &Budget{deposit: int64(percent / 100 * attemptTokens), burst: int64(burst) * attemptTokens}
}

// Request counts a first attempt, which adds its ratio to the budget.
func (b *Budget) Request() {
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, min(b.burst, old+b.deposit)) {
			return
		}
	}
}

// Take uses one extra attempt. It returns false if none is left.
func (b *Budget) Take() bool { return b.take(1) }

// TakeSpare uses one extra attempt only if another one is left after it. It is
// for hedges, so that they leave one attempt for the retry of a failed request.
func (b *Budget) TakeSpare() bool { return b.take(2) }

// take uses one extra attempt if at least the given number is left.
func (b *Budget) take(least int64) bool {
	for {
		old := b.tokens.Load()
		if old < least*attemptTokens {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-attemptTokens) {
			return true
		}
	}
}

// Grant adds n initial extra attempts, up to the burst.
func (b *Budget) Grant(n int) {
	b.tokens.Store(min(b.burst, b.tokens.Load()+int64(n)*attemptTokens))
}

// Return refunds an extra attempt that was not sent.
func (b *Budget) Return() {
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, min(b.burst, old+attemptTokens)) {
			return
		}
	}
}
