package probe

import (
	"sync"
	"time"
)

// Condition classifies the health of an upstream.
type Condition string

// Conditions. An upstream with too few answers, no current report and no recent probe
// is unknown.
const (
	Unknown     Condition = "unknown"
	Healthy     Condition = "healthy"
	Slow        Condition = "slow"         // responses take much longer than usual, or time out
	Draining    Condition = "draining"     // it reports that it takes no new requests
	Shedding    Condition = "shedding"     // it refuses requests without executing them
	Cold        Condition = "cold"         // it reports that it has just started
	Failing     Condition = "failing"      // requests fail about as slowly as they succeed, or only a failed probe is known
	FailingFast Condition = "failing-fast" // requests fail much faster than they succeed
	Misleading  Condition = "misleading"   // requests fail although it reports ok or its health endpoint succeeds
)

// Outcome is the outcome of one request.
type Outcome int

// Outcomes of a request to an upstream.
const (
	Success Outcome = iota
	Failure         // an error response or a broken connection
	Shed            // refused, with proof that it was not executed
	Timeout         // no response in time
)

// The sliding window is a ring of buckets, so that answers expire without a list of them.
const (
	buckets        = 10
	bucketTime     = 500 * time.Millisecond
	windowTime     = buckets * bucketTime
	loadTTL        = windowTime  // how long a load report is valid without a newer one
	probeTTL       = time.Minute // how long the result of a health probe is valid
	baselineWeight = 0.05        // weight of the newest bucket in the moving average of the usual latency
	// maxBaselineRise limits the rise per bucket to 1% (0.05 of 0.2), so that a phase with
	// six times the usual latency takes more than a minute to become the baseline.
	maxBaselineRise = 1.2
	// fastFailureShare is the share of the usual latency below which a failure is fast.
	fastFailureShare = 0.5
)

type bucket struct {
	index   int64
	count   [4]int
	latency [4]time.Duration
}

// Stats holds the recent answers, load reports and probe results of one upstream. It
// is safe for concurrent use.
type Stats struct {
	settings   Settings
	mu         sync.Mutex
	ring       [buckets]bucket
	newest     int64 // index of the newest bucket
	load       Load
	baseline   time.Duration // mean latency of successes over a longer time
	probedAt   time.Time
	probeOK    bool
	lastUpdate time.Time // newest passive or active information
	lastAnswer time.Time // newest answer to a request of this instance
}

// NewStats returns empty stats.
func NewStats(s Settings) *Stats { return &Stats{settings: s} }

// Record counts the outcome of one request.
func (s *Stats) Record(now time.Time, o Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := now.UnixNano() / int64(bucketTime)
	b := &s.ring[index%buckets]
	if b.index != index {
		s.updateBaseline()
		*b = bucket{index: index}
		s.newest = index
	}
	b.count[o]++
	b.latency[o] += latency
	s.lastAnswer = now
	s.touch(now)
}

// updateBaseline adds the bucket that has just ended to the baseline latency. Since it
// weights by time and not by answers, the baseline does not rise faster the busier a
// slow upstream is.
func (s *Stats) updateBaseline() {
	b := &s.ring[s.newest%buckets]
	mean := b.mean(Success)
	if mean == 0 {
		return
	}
	if s.baseline == 0 {
		s.baseline = mean
		return
	}
	capped := min(mean, time.Duration(float64(s.baseline)*maxBaselineRise))
	s.baseline += time.Duration(float64(capped-s.baseline) * baselineWeight)
}

// RecordLoad applies a load report from an answer, a probe or another instance. A report
// older than the current one is ignored.
func (s *Stats) RecordLoad(l Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.At.Before(s.load.At) {
		s.load = l
		s.touch(l.At)
	}
}

// RecordProbe records whether the health endpoint responded with a success.
func (s *Stats) RecordProbe(now time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probedAt, s.probeOK = now, ok
	s.touch(now)
}

func (s *Stats) touch(now time.Time) {
	if now.After(s.lastUpdate) {
		s.lastUpdate = now
	}
}

// LastUpdate returns the time of the newest passive or active information.
func (s *Stats) LastUpdate() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUpdate
}

// LastAnswer returns the time of the newest answer to a request of this instance.
func (s *Stats) LastAnswer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswer
}

// RecordContact records that another instance got an answer without a load report at the given time.
func (s *Stats) RecordContact(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touch(at)
}

// Load returns the newest load report.
func (s *Stats) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load
}

// Summary is the evaluation of one upstream.
type Summary struct {
	Condition Condition
	// Failed is the share of failed requests in the window.
	Failed float64
	// Latency is the mean latency of successes in the window; 0 if there are none.
	Latency time.Duration
	// Baseline is the usual latency: a long-term moving average of the successes.
	Baseline time.Duration
	// Successes counts the successes in the window.
	Successes int
}

// Evaluate classifies the upstream. poolBaseline is the usual latency of its pool, 0 if
// unknown; it serves to detect upstreams that have always been slow.
func (s *Stats) Evaluate(now time.Time, poolBaseline time.Duration) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(now)
	r := Summary{Baseline: s.baseline, Successes: w.count[Success]}
	total := 0
	for _, n := range w.count {
		total += n
	}
	if total > 0 {
		r.Failed = float64(w.count[Failure]) / float64(total)
	}
	r.Latency = w.mean(Success)
	r.Condition = s.condition(now, w, total, r, poolBaseline)
	return r
}

func (s *Stats) window(now time.Time) bucket {
	var w bucket
	newest := now.UnixNano() / int64(bucketTime)
	for _, b := range s.ring {
		if b.index <= newest-buckets || b.index > newest {
			continue
		}
		for o := range b.count {
			w.count[o] += b.count[o]
			w.latency[o] += b.latency[o]
		}
	}
	return w
}

func (b *bucket) mean(o Outcome) time.Duration {
	if b.count[o] == 0 {
		return 0
	}
	return b.latency[o] / time.Duration(b.count[o])
}

// condition applies the rules in order. The state that the upstream reports explains
// its answers and therefore precedes them, except that failing requests outweigh a
// report that it is ok or shedding.
func (s *Stats) condition(now time.Time, w bucket, total int, r Summary, poolBaseline time.Duration) Condition {
	stated := StateNone
	if s.load.Age(now) < loadTTL {
		stated = s.load.State
	}
	switch {
	case stated == StateDraining:
		return Draining
	case stated == StateCold:
		return Cold
	case total >= s.settings.MinAnswers && r.Failed >= s.settings.FailingShare:
		return s.failureCondition(now, w, stated)
	case stated == StateShedding, total >= s.settings.MinAnswers && 2*w.count[Shed] >= total:
		return Shedding
	case total >= s.settings.MinAnswers && s.isSlow(w, r, poolBaseline):
		return Slow
	case total < s.settings.MinAnswers && !s.probedAt.IsZero() && !s.probeOK && now.Sub(s.probedAt) < probeTTL:
		return Failing
	case total >= s.settings.MinAnswers, stated == StateOK, s.probeOK && now.Sub(s.probedAt) < probeTTL:
		return Healthy
	}
	return Unknown
}

// failureCondition classifies an upstream whose requests fail.
func (s *Stats) failureCondition(now time.Time, w bucket, stated State) Condition {
	if stated == StateOK || s.probeOK && now.Sub(s.probedAt) < probeTTL {
		return Misleading
	}
	if s.baseline == 0 || float64(w.mean(Failure)) < float64(s.baseline)*fastFailureShare {
		return FailingFast
	}
	return Failing
}

func (s *Stats) isSlow(w bucket, r Summary, poolBaseline time.Duration) bool {
	total := w.count[Success] + w.count[Timeout]
	if total > 0 && 2*w.count[Timeout] >= total {
		return true
	}
	usual := s.baseline
	if poolBaseline > 0 {
		usual = min(usual, poolBaseline)
	}
	return usual > 0 && float64(r.Latency) > float64(usual)*s.settings.SlowFactor
}
