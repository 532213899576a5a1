package placement

import (
	"slices"
	"time"
)

// overlapTries is the number of random upstreams examined for a permit above the limit.
const overlapTries = 3

// grantOverlap grants permits above the limits up to BrokerSettings.Overlap.
func (b *Broker) grantOverlap(now time.Time) {
	for range overlapTries {
		if len(b.overLimit) >= b.settings.Overlap || b.free > 0 || b.queue.Len() == 0 || len(b.index.upstreams) == 0 {
			return
		}
		s := b.index.upstreams[b.rnd.IntN(len(b.index.upstreams))]
		b.refresh(now, s)
		if s.inUse != s.limit || s.limit != b.pool.Slots || s.silence.until(now, s.inUse, b.meanHold) > maxOverlapSilence {
			continue
		}
		if it := b.dequeue(now); it != nil && !slices.Contains(it.Value.request.Exclude, s.up.ID) {
			b.assign(now, it.Value.key, s)
		} else if it != nil {
			b.items[it.Value.key] = it
			b.queue.Restore(it)
		}
	}
}

// maxOverlapSilence is the number of missing answers above which an upstream gets
// no permit above its limit, because a slow upstream will not free a slot soon.
const maxOverlapSilence = 1
