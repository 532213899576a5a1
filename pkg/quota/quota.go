// Package quota enforces limits that all instances share, such as the concurrent
// requests of a cold upstream or its connections. The total use of all instances
// stays within the limit at all times.
//
// One allocator per resource grants units with a lifetime. A holder counts the
// lifetime from the time it sent its request, the allocator from the time it
// replied, so a grant always expires first at the holder; Settings.DriftPercent
// allows for clocks that run at different rates.
//
// Work that is running when a grant expires still counts. Holders therefore renew
// while work runs, and every request states the units that they hold. A holder that
// has received no reply for one lifetime starts no work; after a further
// Settings.WorkBound it revokes the permits of the work that is still running, which
// the callers must then cancel. An allocator that receives no further request from a
// holder keeps its units reserved for the same two periods and Settings.Margin.
//
// A new allocator has no leases. After its epoch has loaded it waits for both periods
// before it grants a unit that the requesting holder does not already have. Until
// then a holder may keep the units that it has held continuously (Reply.KeepOnly):
// once the epoch has loaded, no other instance can grant them. An instance that is
// the allocator in two consecutive epochs keeps its leases and does not wait again.
//
// Every request carries the full state of its holder, and a holder accepts only the
// reply to its last request. Lost, late, duplicated and reordered messages can
// therefore leave units unused for some time, but never give one unit to two holders.
//
// When a limit is lowered, the units above it are not granted again; they expire with
// their grants.
package quota

import (
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Authority reports whether this instance may act as the allocator of a resource.
//
// An implementation guarantees that in one epoch at most one instance ever holds the
// authority for a resource; that once an epoch has loaded, no instance holds or can
// regain the authority of an earlier epoch; and that loadedAt is the local time at
// which this instance learned that the epoch had loaded, never earlier. Held returns
// false as soon as the authority lease may have expired, also after a pause of the
// process.
type Authority interface {
	Held(now time.Time) (epoch uint64, loadedAt time.Time, ok bool)
}

// Settings are the timing parameters. All instances must use the same values.
type Settings struct {
	// Lifetime is the time for which a grant allows work to start. Default 2s.
	Lifetime time.Duration `json:"lifetime"`
	// WorkBound is how long work may continue after the lifetime of its grant without a renewal. Default 30s.
	WorkBound time.Duration `json:"work_bound"`
	// Margin covers the time that cancelled work needs to end at the upstream. Default 500ms.
	Margin time.Duration `json:"margin"`
	// DriftPercent is the maximum difference between the rates of two clocks, in percent. Default 1.
	DriftPercent int `json:"drift_percent"`
	// Turn is how long a holder keeps a unit that others wait for. Each handover leaves the unit
	// unused for about one Poll, so short turns waste capacity. Default 1s.
	Turn time.Duration `json:"turn"`
	// Poll is the interval between requests of a holder that waits for units. Default 100ms.
	Poll time.Duration `json:"poll"`
	// Timeout is how long a holder waits for a reply before it sends another request. Default 250ms.
	Timeout time.Duration `json:"timeout"`
}

// DefaultSettings returns the defaults. The work bound equals the default deadline of
// a route, so a holder that is cut off from its allocator cancels only work that has
// missed its deadline anyway.
func DefaultSettings() Settings {
	return Settings{
		Lifetime: 2 * time.Second, WorkBound: 30 * time.Second, Margin: 500 * time.Millisecond,
		DriftPercent: 1, Turn: time.Second,
		Poll: 100 * time.Millisecond, Timeout: 250 * time.Millisecond,
	}
}

// Validate returns all problems of the settings; path is their location in the configuration.
func (s Settings) Validate(path string) table.Problems {
	var p table.Problems
	if s.Lifetime <= 0 || s.Turn <= 0 || s.Poll <= 0 || s.Timeout <= 0 {
		p.Add(path, "lifetime, turn, poll or timeout is not positive", "give positive durations")
	}
	if s.WorkBound < 0 || s.Margin < 0 || s.DriftPercent < 0 || s.DriftPercent > 50 {
		p.Add(path, "work_bound, margin or drift_percent is out of range", "use zero or more, and at most 50 percent")
	}
	if s.Timeout > s.Lifetime/2 || s.Poll > s.Lifetime/2 {
		p.Add(path, "timeout or poll is longer than half the lifetime", "keep both short, so that a renewal can be tried twice")
	}
	return p
}

// holderSpan shortens d by the clock drift; holders use it so that they expire first.
func (s Settings) holderSpan(d time.Duration) time.Duration {
	return d - d*time.Duration(s.DriftPercent)/100
}

// allocatorSpan lengthens d by the clock drift; allocators use it so that they expire last.
func (s Settings) allocatorSpan(d time.Duration) time.Duration {
	return d + d*time.Duration(s.DriftPercent)/100
}

// reserveTime returns how long an allocator keeps the units of an unresponsive holder reserved.
func (s Settings) reserveTime() time.Duration {
	return s.allocatorSpan(s.Lifetime+s.WorkBound) + s.Margin
}

// Request states the units that a holder has and wants.
type Request struct {
	// Sequence increases with each request of a holder for a resource.
	Sequence uint64
	// Held is the number of units that the holder uses or can use until the reply arrives.
	Held int
	// Want is the number of units that the holder has work for, including those in use.
	Want int
}

// Reply is the allocator's response to a request.
type Reply struct {
	Sequence uint64
	Epoch    uint64
	// Granted is false if the replying instance has no authority or the request is out of date.
	Granted bool
	// Units is the number of units that the holder may use for one lifetime.
	Units int
	// KeepOnly restricts Units to those that the holder has held continuously since its request.
	KeepOnly bool
	// Contended is set if other holders wait, so that unused units should be returned at once.
	Contended bool
	// Limit is the limit over all instances.
	Limit int
}

// SplitLimit splits a limit into the fixed part that each instance may use without a
// grant and the part that is leased. leasedPercent of the limit is reserved for
// leases; the remainder of the division is leased too. The limit is kept only while
// at most maxInstances run at a time, including replaced ones that have not yet ended.
func SplitLimit(limit, maxInstances, leasedPercent int) (fixed, leased int) {
	if limit <= 0 || maxInstances <= 0 {
		return 0, max(0, limit)
	}
	fixed = (limit - limit*leasedPercent/100) / maxInstances
	return fixed, limit - fixed*maxInstances
}
