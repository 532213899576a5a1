package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// maxBucket is the last bucket of an index. Upstreams with more requests in
// flight share it, which bounds the number of buckets to search.
const maxBucket = 64

// upstreamState is the state of one upstream in an index.
type upstreamState struct {
	up       table.Upstream
	inUse    int
	limit    int // maximum of inUse; used by brokers only
	bucket   int // -1 while the upstream must not be selected
	position int
	removed  bool // removed from the pool
	load     loadEstimate
	silence  silence
}

// loadIndex groups the upstreams of one failure domain into buckets by requests
// in flight, so that the least loaded one is found without scanning all of them.
type loadIndex struct {
	region, domain string
	upstreams      []*upstreamState
	buckets        [maxBucket + 1][]*upstreamState
}

// setBucket moves s to bucket b; -1 removes it from selection.
func (x *loadIndex) setBucket(s *upstreamState, b int) {
	b = min(b, maxBucket)
	if s.bucket == b {
		return
	}
	x.remove(s)
	if b < 0 {
		return
	}
	s.bucket, s.position = b, len(x.buckets[b])
	x.buckets[b] = append(x.buckets[b], s)
}

func (x *loadIndex) remove(s *upstreamState) {
	if s.bucket < 0 {
		return
	}
	list := x.buckets[s.bucket]
	last := len(list) - 1
	list[s.position] = list[last]
	list[s.position].position = s.position
	list[last] = nil
	x.buckets[s.bucket] = list[:last]
	s.bucket = -1
}

// add inserts a new upstream.
func (x *loadIndex) add(s *upstreamState) {
	s.bucket = -1
	x.upstreams = append(x.upstreams, s)
	x.setBucket(s, s.inUse)
}

// sampleSize is the number of upstreams with equal load that are compared by silence.
const sampleSize = 3

// leastLoaded returns an upstream with few requests in flight. Among a random
// sample of a bucket it selects the one with the fewest missing answers. An
// upstream that exceeds suspectSilence is only selected if there is no other.
func (x *loadIndex) leastLoaded(rnd *rand.Rand, exclude []string, silent func(*upstreamState) float64) *upstreamState {
	var fallback *upstreamState
	for b := range x.buckets {
		s, missing := x.leastSilent(b, rnd, exclude, silent)
		if s != nil && missing < suspectSilence {
			return s
		}
		if fallback == nil {
			fallback = s
		}
	}
	return fallback
}

func (x *loadIndex) leastSilent(b int, rnd *rand.Rand, exclude []string, silent func(*upstreamState) float64) (best *upstreamState, lowest float64) {
	list := x.buckets[b]
	if len(list) == 0 {
		return nil, 0
	}
	start := rnd.IntN(len(list))
	for i := range min(len(list), sampleSize+len(exclude)) {
		s := list[(start+i)%len(list)]
		if slices.Contains(exclude, s.up.ID) {
			continue
		}
		if r := silent(s); best == nil || r < lowest {
			best, lowest = s, r
		}
	}
	return best, lowest
}
