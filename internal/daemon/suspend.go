package daemon

import (
	"context"
	"time"
)

const (
	// suspendCheckInterval is the time between comparisons of the two clocks.
	suspendCheckInterval = 250 * time.Millisecond
	// suspendThreshold is the difference between the clocks above which the machine is
	// considered to have been suspended; smaller ones result from adjustments of the wall clock.
	suspendThreshold = 500 * time.Millisecond
)

// watchSuspension releases authority and grants whenever the machine was suspended, until
// ctx ends. The monotonic clock stops during a suspension, so leases that are measured by
// it would still seem valid. A paused process needs no such check: the monotonic clock
// continues, so its leases have expired.
func (l *limits) watchSuspension(ctx context.Context) error {
	tick := time.NewTicker(suspendCheckInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		if gap := suspendedFor(last, now); gap > suspendThreshold {
			l.views.DropAuthority(now)
			l.quota.Forfeit(gap)
			l.log.Info("the machine was suspended; released authority and grants", "gap", gap.String())
		}
		last = now
	}
}

// suspendedFor returns how much more time passed on the wall clock than on the monotonic one.
func suspendedFor(last, now time.Time) time.Duration {
	return now.Round(0).Sub(last.Round(0)) - now.Sub(last)
}
