package load

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// Histogram counts durations in buckets of fixed relative width: a quantile is
// at most 1/64 above the true value. Its size does not depend on the number of
// values. It is safe for concurrent use.
type Histogram struct {
	counts [bucketCount]atomic.Uint64
	sum    atomic.Int64
	max    atomic.Int64
}

// Each power of two is divided into 64 buckets, so the relative error is below 1/64.
// Values are in nanoseconds; 58 ranges cover an int64.
const (
	// subBucketBits is the binary logarithm of subBuckets.
	subBucketBits = 6
	// subBuckets is the number of buckets of each power of two.
	subBuckets = 1 << subBucketBits
	// bucketCount is the total number of buckets.
	bucketCount = (64 - subBucketBits) * subBuckets
)

func bucketOf(ns int64) int {
	if ns < subBuckets {
		return int(max(ns, 0))
	}
	shift := bits.Len64(uint64(ns)) - 1 - subBucketBits
	return (shift+1)*subBuckets + int(ns>>shift) - subBuckets
}

// upperBound returns the largest value of a bucket.
func upperBound(bucket int) int64 {
	if bucket < subBuckets {
		return int64(bucket)
	}
	shift := bucket/subBuckets - 1
	return (int64(bucket%subBuckets+subBuckets)+1)<<shift - 1
}

// Add counts one duration. Negative durations are counted in the bucket of zero.
func (h *Histogram) Add(d time.Duration) {
	h.counts[bucketOf(int64(d))].Add(1)
	h.sum.Add(int64(d))
	for {
		old := h.max.Load()
		if int64(d) <= old || h.max.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

// Count returns the number of durations added.
func (h *Histogram) Count() uint64 {
	var n uint64
	for i := range h.counts {
		n += h.counts[i].Load()
	}
	return n
}

// Max returns the largest duration added.
func (h *Histogram) Max() time.Duration { return time.Duration(h.max.Load()) }

// Mean returns the mean duration, or zero if the histogram is empty.
func (h *Histogram) Mean() time.Duration {
	n := h.Count()
	if n == 0 {
		return 0
	}
	return time.Duration(h.sum.Load() / int64(n))
}

// Quantile returns the duration that the share q (0 to 1) of the durations does not
// exceed, or zero if the histogram is empty.
func (h *Histogram) Quantile(q float64) time.Duration {
	rank := uint64(q * float64(h.Count()))
	var seen uint64
	for i := range h.counts {
		seen += h.counts[i].Load()
		if seen > rank {
			return min(time.Duration(upperBound(i)), h.Max())
		}
	}
	return h.Max()
}
