package retry

import (
	"math"
	"sync"
	"time"
)

// The histogram covers 100 µs to about 100 s with 8 buckets per doubling, which gives
// a resolution of 9%.
const (
	firstBucket      = 100 * time.Microsecond
	bucketsPerDouble = 8
	bucketCount      = 20 * bucketsPerDouble
)

// windowSamples is the number of samples in a window. The estimate uses the last
// full window and the current one, so old latencies expire.
const windowSamples = 500

// minSamples is the minimum number of samples for an estimate.
const minSamples = 50

type window struct {
	counts [bucketCount]uint16
	total  int
}

// Quantile estimates a quantile of recent latencies in constant memory (640 B).
type Quantile struct {
	mu            sync.Mutex
	current, last window
}

// Observe adds a latency sample.
func (q *Quantile) Observe(d time.Duration) {
	b := 0
	if d > firstBucket {
		b = min(bucketCount-1, int(math.Log2(float64(d)/float64(firstBucket))*bucketsPerDouble))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.current.total >= windowSamples {
		q.last, q.current = q.current, window{}
	}
	q.current.counts[b]++
	q.current.total++
}

// NextWindow begins a new window, so that the samples of the last one expire.
func (q *Quantile) NextWindow() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last, q.current = q.current, window{}
}

// Estimate returns the p-quantile, rounded up to a bucket, or false while there are fewer than minSamples samples.
func (q *Quantile) Estimate(p float64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	total := q.current.total + q.last.total
	if total < minSamples {
		return 0, false
	}
	left := int(math.Ceil(p * float64(total)))
	for b := range bucketCount {
		left -= int(q.current.counts[b]) + int(q.last.counts[b])
		if left <= 0 {
			return time.Duration(float64(firstBucket) * math.Exp2(float64(b+1)/bucketsPerDouble)), true
		}
	}
	return 0, false
}
