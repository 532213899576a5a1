package sampled

import (
	"maps"
	"sync"
	"time"
)

const (
	// remoteFullTTL is how long an overloaded pool does not probe an upstream of another
	// region again that had no headroom: about two usual processing times, after which the
	// instances of its own region, which are nearer, have long filled any freed slot.
	remoteFullTTL = 400 * time.Millisecond
	// maxReadingAge is the age up to which a reading is used in place of a probe that the budget does not allow.
	// Older ones say nothing about the load.
	maxReadingAge = 250 * time.Millisecond
	// maxWarmAge is how long an upstream counts as warm after a reading or a response that showed it.
	maxWarmAge = 5 * time.Second
	// maxWarmTimeShare is the share of the target within which a response shows that its upstream is warm; the same
	// request takes coldFactor times as long on a cold one.
	maxWarmTimeShare = 1.5 * workShare
	// maxReadings bounds the number of readings: upstreams that leave a pool are not
	// probed again, so nothing else removes them.
	maxReadings = 4096
)

// lastReadings holds the last reading of each upstream, with the requests of this instance that were in flight.
type lastReadings struct {
	mu   sync.Mutex
	list map[string]lastReading
}

type lastReading struct {
	Reading
	pending int
	warmAt  time.Time // when a response or a reading showed that the upstream was warm
}

func newLastReadings() *lastReadings { return &lastReadings{list: map[string]lastReading{}} }

// record stores a reading that was received while the given number of this instance's requests was in flight.
func (l *lastReadings) record(id string, r Reading, pending int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.list[id]; !known && len(l.list) >= maxReadings {
		maps.DeleteFunc(l.list, func(_ string, old lastReading) bool { return r.At.Sub(old.At) > maxWarmAge })
		if len(l.list) >= maxReadings {
			return
		}
	}
	last := lastReading{Reading: r, pending: pending}
	if r.Cold == 0 {
		last.warmAt = r.At
	}
	l.list[id] = last
}

// recordWarm stores that a response of an upstream showed that it is warm.
func (l *lastReadings) recordWarm(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, known := l.list[id]; known || len(l.list) < maxReadings {
		last.warmAt = now
		l.list[id] = last
	}
}

// isWarm reports whether the upstream was warm within maxWarmAge and has not been seen cold since.
func (l *lastReadings) isWarm(id string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, known := l.list[id]
	return known && now.Sub(last.warmAt) <= maxWarmAge
}

// at returns the last reading of an upstream if it is at most as old as the limit. The requests that this
// instance has sent or finished since then are added.
func (l *lastReadings) at(id string, pending int, limit time.Duration, now time.Time) (Reading, bool) {
	l.mu.Lock()
	last, ok := l.list[id]
	l.mu.Unlock()
	if !ok || now.Sub(last.At) > limit {
		return Reading{}, false
	}
	r := last.Reading
	r.Running = max(r.Running+pending-last.pending, 0)
	return r, true
}

// isFull reports whether the upstream had no headroom within remoteFullTTL.
func (l *lastReadings) isFull(id string, pending int, now time.Time) bool {
	r, known := l.at(id, pending, remoteFullTTL, now)
	return known && !hasHeadroom(r)
}
