package quota

import (
	"sync/atomic"
	"time"
)

// MaxUnits is the maximum number of leased units of one gate.
const MaxUnits = 1<<unitBits - 1

// Gate.word packs the end of the grant in milliseconds since the gate was created
// (36 bits, two years), the granted units and the units in use. A single word makes
// acquiring a permit and returning units atomic with respect to each other.
const (
	unitBits   = 14
	unitMask   = 1<<unitBits - 1
	unitShift  = unitBits
	expiryMask = 1<<(64-2*unitBits) - 1
	endShift   = 2 * unitBits
)

// Gate is the part of a holder that requests go through to get a permit. All methods
// are safe for concurrent use; acquiring a permit takes one load and one
// compare-and-swap.
type Gate struct {
	base  time.Time
	fixed int64

	_         [64]byte // padding that keeps the hot words of adjacent gates on separate cache lines
	fixedUsed atomic.Int64
	word      atomic.Uint64
	_         [48]byte
	denied    atomic.Int64
	peak      atomic.Int64
	revoked   atomic.Pointer[chan struct{}]
	wake      func() // called at the first denied permit since the last request; must not block
}

// NewGate returns a gate with a fixed share and no grant.
func NewGate(now time.Time, fixed int) *Gate {
	g := &Gate{base: now, fixed: int64(max(0, fixed))}
	g.renewRevoked()
	return g
}

func (g *Gate) renewRevoked() {
	c := make(chan struct{})
	g.revoked.Store(&c)
}

// Permit is the right to run one piece of work. The zero Permit is not valid.
type Permit struct {
	gate    *Gate
	revoked chan struct{}
	leased  bool
}

// Acquire returns a permit if the gate has a free unit at the time now.
func (g *Gate) Acquire(now time.Time) (Permit, bool) {
	if g.fixed > 0 && g.acquireFixed() {
		return Permit{gate: g}, true
	}
	// The channel is loaded first, so that a revocation between the two steps reaches this permit.
	cut := *g.revoked.Load()
	nowMillis := g.millis(now)
	for {
		w := g.word.Load()
		if w&unitMask >= w>>unitShift&unitMask || nowMillis >= w>>endShift {
			g.refuse()
			return Permit{}, false
		}
		if g.word.CompareAndSwap(w, w+1) {
			// A lost update of the peak only makes the next request slightly smaller.
			if n := int64(w&unitMask) + 1; g.peak.Load() < n {
				g.peak.Store(n)
			}
			return Permit{gate: g, revoked: cut, leased: true}, true
		}
	}
}

func (g *Gate) refuse() {
	if g.denied.Add(1) == 1 && g.wake != nil {
		g.wake()
	}
}

func (g *Gate) acquireFixed() bool {
	for {
		n := g.fixedUsed.Load()
		if n >= g.fixed {
			return false
		}
		if g.fixedUsed.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Revoked returns a channel that is closed when the permit is revoked: the holder has
// been without a reply of the allocator for too long, so the work must be cancelled.
// It is nil for a unit of the fixed share, which is never revoked.
func (p Permit) Revoked() <-chan struct{} { return p.revoked }

// Done releases the permit. It must be called exactly once, after the work has ended.
func (p Permit) Done() {
	if p.leased {
		p.gate.word.Add(^uint64(0))
		return
	}
	p.gate.fixedUsed.Add(-1)
}

// millis returns now in milliseconds since the gate was created, bounded to the bits that word has for it.
func (g *Gate) millis(now time.Time) uint64 {
	return uint64(min(max(0, now.Sub(g.base)/time.Millisecond), expiryMask))
}

// Used returns the number of leased units in use.
func (g *Gate) Used() int { return int(g.word.Load() & unitMask) }

// Held returns the number of leased units that are in use or can still be acquired.
func (g *Gate) Held(now time.Time) int {
	w := g.word.Load()
	return held(w, g.millis(now))
}

func held(w, nowMillis uint64) int {
	used := int(w & unitMask)
	if nowMillis >= w>>endShift {
		return used
	}
	return max(used, int(w>>unitShift&unitMask))
}

// shrinkTo drops unused units above n and returns the number of units still held.
func (g *Gate) shrinkTo(now time.Time, n int) int {
	nowMillis := g.millis(now)
	for {
		w := g.word.Load()
		used := int(w & unitMask)
		left := min(held(w, nowMillis), max(n, used))
		next := w&^(unitMask<<unitShift) | uint64(left)<<unitShift
		if g.word.CompareAndSwap(w, next) {
			return left
		}
	}
}

// grant replaces the grant. With keepOnly the new one never exceeds the units held now.
func (g *Gate) grant(now time.Time, units int, end time.Time, keepOnly bool) {
	nowMillis := g.millis(now)
	for {
		w := g.word.Load()
		n := min(max(0, units), MaxUnits)
		if keepOnly {
			n = min(n, held(w, nowMillis))
		}
		next := w&unitMask | uint64(n)<<unitShift | g.millis(end)<<endShift
		if g.word.CompareAndSwap(w, next) {
			return
		}
	}
}

// revokeAll revokes the permits of all leased units.
func (g *Gate) revokeAll() {
	old := *g.revoked.Load()
	g.renewRevoked()
	close(old)
}

// takeDemand returns and resets the demand since the last call: the peak of units in
// use plus the denied permits. If only the units in use now were counted, a unit that
// serves short work would be returned most of the time.
func (g *Gate) takeDemand() int {
	peak := max(g.peak.Swap(0), int64(g.Used()))
	return int(min(peak+g.denied.Swap(0), MaxUnits))
}
