// Package limit adapts the number of concurrent requests of each upstream.
//
// A slow upstream is detected by a sequential probability ratio test on the rate of
// its answers. For each answer, the test computes how many answers the requests in
// flight should have produced since the previous answer. It adds the logarithm of
// the likelihood ratio of that number between an upstream slowed down by
// Settings.Slowdown (fourfold by default) and the pool's mean. A few late answers in
// a row suffice, while single late answers, which are common, do not. An upstream
// that does not answer at all is detected as well. The test uses the rate instead of
// the latency because the latency reflects the past: an upstream that has recovered
// still answers its older requests late.
//
// Each detection halves the limit, and sufficient evidence of normal speed doubles
// it. It is doubled instead of raised by one because answers are rare at a limit of
// one, so steps of one would leave slots unused for a long time. An upstream that
// only fails is ejected for some time, because fast failures must not attract load.
//
// The methods take the current time as an argument. A Set is safe for concurrent use.
package limit

import (
	"math"
	"sync"
	"time"
)

// Settings are the parameters of a Set.
type Settings struct {
	// Slots is the maximum limit, the number of slots of an upstream.
	Slots int
	// Slowdown is the latency factor, relative to the pool's mean, of a slow upstream.
	Slowdown float64
	// SlowEvidence is the log-likelihood ratio at which an upstream is considered slow.
	// With 7, healthy upstreams are reduced so often that p99 at 95% of slots is 6 to 8%
	// higher than without limits. With 11 it is 0 to 1% higher, and a tenfold slowdown is
	// still detected within 3 answers.
	SlowEvidence float64
	// GoodEvidence is the log-likelihood ratio for normal speed at which a reduced
	// limit is doubled.
	GoodEvidence float64
	// Failures is the number of consecutive failures after which an upstream is ejected.
	// After an ejection, a single failure ejects it again until it has answered.
	Failures int
	// EjectBase is the duration of the first ejection. It doubles with each consecutive
	// ejection up to EjectMax.
	EjectBase, EjectMax time.Duration
	// MaxReducedShare is the share of the upstreams whose limit may be reduced for
	// slowness. If more are slow, the whole pool is slow, and less concurrency would
	// only cause refusals.
	MaxReducedShare float64
	// InitialMean is the initial value of the mean latency, before any answers.
	InitialMean time.Duration
}

// DefaultSettings returns settings for upstreams with the given number of slots.
func DefaultSettings(slots int) Settings {
	return Settings{Slots: slots, Slowdown: 4, SlowEvidence: 11, GoodEvidence: 1, Failures: 3,
		EjectBase: 200 * time.Millisecond, EjectMax: 10 * time.Second, MaxReducedShare: 0.25, InitialMean: 10 * time.Millisecond}
}

// Result classifies the end of a request by what it indicates about the upstream.
type Result int

const (
	// Answered means that the upstream sent a complete answer.
	Answered Result = iota
	// Shed means that the upstream refused the request for lack of capacity.
	Shed
	// Failed means that the attempt failed.
	Failed
	// Ignored means that the end indicates nothing about the upstream, for example
	// because the caller cancelled the request.
	Ignored
)

const (
	// meanWeight is the weight of a new latency in the pool's moving average.
	meanWeight = 1.0 / 256
	// maxLatencyMeans bounds one latency sample to this multiple of the mean, so that a
	// single slow upstream does not distort the mean.
	maxLatencyMeans = 4
)

// upstream is the state of one upstream.
type upstream struct {
	limit        int
	inFlight     int
	slowEvidence float64 // log-likelihood ratio for being slow
	goodEvidence float64 // log-likelihood ratio for normal speed
	failures     int
	ejectedUntil time.Time // the limit is 0 until this time
	ejections    int
	overdue      float64   // number of answers expected since the last one
	advancedAt   time.Time // time up to which overdue is counted
}

// Set adapts the limits of a pool's upstreams.
type Set struct {
	mu        sync.Mutex
	settings  Settings
	mean      time.Duration
	upstreams map[string]*upstream
	reduced   int
}

// NewSet returns a Set in which every upstream starts with the full limit.
func NewSet(s Settings) *Set {
	return &Set{settings: s, mean: s.InitialMean, upstreams: map[string]*upstream{}}
}

func (s *Set) get(id string) *upstream {
	u := s.upstreams[id]
	if u == nil {
		u = &upstream{limit: s.settings.Slots}
		s.upstreams[id] = u
	}
	return u
}

// Begin records that a request is sent to the upstream.
func (s *Set) Begin(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.get(id)
	s.advance(u, now)
	u.inFlight++
}

// End records the end of a request; latency is the time until the start of its answer.
func (s *Set) End(id string, now time.Time, latency time.Duration, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.get(id)
	s.advance(u, now)
	u.inFlight = max(0, u.inFlight-1)
	switch r {
	case Answered:
		u.failures, u.ejections = 0, 0
		s.addEvidence(u, u.overdue)
		u.overdue = 0
		s.updateMean(latency)
	case Shed:
		s.reduce(u)
	case Failed:
		s.recordFailure(u, now)
	}
}

// advance adds the number of answers expected between the last call and now.
func (s *Set) advance(u *upstream, now time.Time) {
	if now.After(u.advancedAt) {
		u.overdue += float64(u.inFlight) * float64(now.Sub(u.advancedAt)) / float64(s.mean)
		u.advancedAt = now
	}
}

// updateMean adds a latency sample to the pool's moving average.
func (s *Set) updateMean(latency time.Duration) {
	if latency > 0 {
		x := min(float64(latency), maxLatencyMeans*float64(s.mean))
		s.mean += time.Duration(meanWeight * (x - float64(s.mean)))
	}
}

// addEvidence updates the evidence with an answer that arrived when x answers were
// expected since the previous one, and adjusts the limit.
func (s *Set) addEvidence(u *upstream, x float64) {
	k := s.settings.Slowdown
	evidence := x*(1-1/k) - math.Log(k)
	u.slowEvidence = max(0, u.slowEvidence+evidence)
	u.goodEvidence = max(0, u.goodEvidence-evidence)
	switch {
	case u.slowEvidence >= s.settings.SlowEvidence:
		s.reduce(u)
	case u.goodEvidence >= s.settings.GoodEvidence && u.limit < s.settings.Slots:
		s.setLimit(u, min(s.settings.Slots, 2*u.limit))
		u.goodEvidence = 0
	}
}

// reduce halves the limit, unless the limits of too many upstreams are already reduced.
func (s *Set) reduce(u *upstream) {
	u.slowEvidence, u.goodEvidence = 0, 0
	allowed := max(1, int(s.settings.MaxReducedShare*float64(len(s.upstreams))))
	if u.limit == s.settings.Slots && s.reduced >= allowed {
		return
	}
	s.setLimit(u, max(1, u.limit/2))
}

func (s *Set) setLimit(u *upstream, limit int) {
	if u.limit < s.settings.Slots {
		s.reduced--
	}
	u.limit = limit
	if u.limit < s.settings.Slots {
		s.reduced++
	}
}

func (s *Set) recordFailure(u *upstream, now time.Time) {
	if u.failures++; u.failures < s.settings.Failures && u.ejections == 0 {
		return
	}
	u.ejectedUntil = now.Add(min(s.settings.EjectMax, s.settings.EjectBase<<min(u.ejections, 16)))
	u.ejections++
	u.failures = 0
	s.setLimit(u, 1)
}

// Limit returns the number of concurrent requests that the upstream may currently have.
func (s *Set) Limit(id string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.get(id)
	if now.Before(u.ejectedUntil) {
		return 0
	}
	// The absence of answers from the requests in flight is evidence as well.
	if s.advance(u, now); u.slowEvidence+u.overdue*(1-1/s.settings.Slowdown) >= s.settings.SlowEvidence {
		s.reduce(u)
		u.overdue = 0
	}
	return u.limit
}

// Forget deletes the state of the upstreams for which keep returns false.
func (s *Set) Forget(keep func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, u := range s.upstreams {
		if !keep(id) {
			s.setLimit(u, s.settings.Slots)
			delete(s.upstreams, id)
		}
	}
}
