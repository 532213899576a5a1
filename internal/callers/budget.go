// Package callers bounds what the callers of an instance hold together: memory of requests and connections. It
// decides without reading a clock.
package callers

import "sync/atomic"

// Budget is a number of bytes that requests share. It answers the load of many clients that each stay inside the
// limits of one request and together hold more memory than the machine has.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take reserves n bytes and reports success. A reservation that does not fit reserves nothing.
func (b *Budget) Take(n int64) bool { return b.TakeUpTo(n, b.limit) }

// TakeUpTo is Take with a limit of its own, which leaves the rest of the budget to others.
func (b *Budget) TakeUpTo(n, limit int64) bool {
	if b.used.Add(n) <= limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Give returns n reserved bytes.
func (b *Budget) Give(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }
