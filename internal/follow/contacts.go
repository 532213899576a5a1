package follow

import (
	"slices"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/peer"
)

// callers remembers which instances asked this one for changes lately.
type callers struct {
	mu       sync.Mutex
	asked    map[peer.InstanceID]time.Time
	appeared chan struct{}
}

func newCallers() *callers {
	return &callers{asked: map[peer.InstanceID]time.Time{}, appeared: make(chan struct{}, 1)}
}

func (c *callers) record(id peer.InstanceID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.asked[id]
	if !known && len(c.asked) >= maxCounted {
		return
	}
	c.asked[id] = now
	if !known || now.Sub(last) > countWindow {
		select {
		case c.appeared <- struct{}{}:
		default:
		}
	}
}

// recent returns the instances that asked within countWindow.
func (c *callers) recent(now time.Time) []peer.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]peer.InstanceID, 0, len(c.asked))
	for id, at := range c.asked {
		if now.Sub(at) > countWindow {
			delete(c.asked, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// ContactAppeared returns a channel that receives a value when an instance asks this one for changes that has not done so
// lately.
func (f *Follower) ContactAppeared() <-chan struct{} { return f.callers.appeared }

// Contacts returns the instances with which this one exchanges what it knows beside the store: the readers of all
// regions, and the instances that lately asked this one for changes. Every instance that follows a reader
// is reached through it.
func (f *Follower) Contacts() []peer.InstanceID {
	ids := f.callers.recent(time.Now())
	if known := f.readers.Load(); known != nil {
		for _, r := range *known {
			if r.ID != f.self.ID && !slices.Contains(ids, r.ID) {
				ids = append(ids, r.ID)
			}
		}
	}
	if last := f.lastReader.Load(); last != nil && last.ID != f.self.ID && !slices.Contains(ids, last.ID) {
		ids = append(ids, last.ID)
	}
	return ids
}
