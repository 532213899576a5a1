package sampled

import (
	"maps"
	"sync"
	"time"
)

// remoteFullTTL is how long an overloaded pool does not probe an upstream of another
// region again that had no headroom: about two usual processing times, after which the
// instances of its own region, which are nearer, have long filled any freed slot.
const remoteFullTTL = 400 * time.Millisecond

// maxFullUpstreams bounds the number of entries: upstreams that leave a pool are not
// probed again, so nothing else removes them.
const maxFullUpstreams = 4096

// fullUpstreams caches which upstreams of other regions had no headroom. Without it,
// when all regions are overloaded, each request that finds no headroom in the local
// region probes the upstreams of all others, traffic that operators pay for by volume,
// only to repeat the result of the previous request. Upstreams with headroom are
// probed each time, since several instances may want the same slot.
type fullUpstreams struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newFullUpstreams() *fullUpstreams { return &fullUpstreams{until: map[string]time.Time{}} }

// record stores whether an upstream was full.
func (f *fullUpstreams) record(id string, full bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !full {
		delete(f.until, id)
		return
	}
	if len(f.until) >= maxFullUpstreams {
		maps.DeleteFunc(f.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	if len(f.until) < maxFullUpstreams {
		f.until[id] = now.Add(remoteFullTTL)
	}
}

// isFull reports whether the upstream had no headroom within remoteFullTTL.
func (f *fullUpstreams) isFull(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	until, known := f.until[id]
	if known && !now.Before(until) {
		delete(f.until, id)
		return false
	}
	return known
}
