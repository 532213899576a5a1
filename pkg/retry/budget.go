package retry

import "sync/atomic"

// unit is the integer value of one extra attempt; integers keep the ratio exact.
const unit = 1000

// Budget allows extra attempts as a ratio of requests. It starts empty, so the
// extra attempts never exceed the ratio of the requests seen so far, also in a
// full outage. It takes no lock.
type Budget struct {
	deposit int64
	burst   int64
	tokens  atomic.Int64
}

// NewBudget returns a budget of percent of the requests. At most burst attempts
// are saved up in quiet times, so that an outage starts with no flood.
func NewBudget(percent float64, burst int) *Budget {
	return &Budget{deposit: int64(percent / 100 * unit), burst: int64(burst) * unit}
}

// Request counts a first attempt.
func (b *Budget) Request() {
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, min(b.burst, old+b.deposit)) {
			return
		}
	}
}

// Take uses up one extra attempt, or reports that none is left.
func (b *Budget) Take() bool { return b.take(1) }

// TakeSpare uses up one extra attempt only if another one is left after it. It is
// for attempts that make an answer faster, so that they leave one for a request that fails.
func (b *Budget) TakeSpare() bool { return b.take(2) }

// take uses up one extra attempt if at least some are left.
func (b *Budget) take(least int64) bool {
	for {
		old := b.tokens.Load()
		if old < least*unit {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Grant adds extra attempts at the start, up to the burst.
func (b *Budget) Grant(n int) {
	b.tokens.Store(min(b.burst, b.tokens.Load()+int64(n)*unit))
}

// Return gives back an extra attempt that was not sent.
func (b *Budget) Return() {
	for {
		old := b.tokens.Load()
		if b.tokens.CompareAndSwap(old, min(b.burst, old+unit)) {
			return
		}
	}
}
