package sampled

import (
	"maps"
	"sync"
	"time"
)

// farFullTime is how long an upstream of another region that had no room is not asked
// again: about two pieces of work of the sites, after which the instances of its own
// region, which are nearer, have long filled a slot that came free.
const farFullTime = 400 * time.Millisecond

// maxFull bounds the upstreams that are remembered: those that leave a pool are not
// asked again, so nothing else removes them.
const maxFull = 4096

// fullUpstreams remembers upstreams of other regions that had no room. It answers
// overload of the whole fleet: without it each request that finds no room at home
// asks all upstreams of all regions, traffic that operators pay for by volume, only
// to learn what the request before it has learnt. Upstreams that have room are asked
// each time, since several instances may want the same slot.
type fullUpstreams struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newFullUpstreams() *fullUpstreams { return &fullUpstreams{until: map[string]time.Time{}} }

// note takes over whether an upstream had room.
func (f *fullUpstreams) note(id string, full bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !full {
		delete(f.until, id)
		return
	}
	if len(f.until) >= maxFull {
		maps.DeleteFunc(f.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	if len(f.until) < maxFull {
		f.until[id] = now.Add(farFullTime)
	}
}

// has reports whether the upstream had no room a short time ago.
func (f *fullUpstreams) has(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, known := f.until[id]
	if known && !now.Before(until) {
		delete(f.until, id)
		return false
	}
	return known
}
