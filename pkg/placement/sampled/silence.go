package sampled

import (
	"sync"
	"time"
)

const (
	// maxSilence is the time for which requests wait for a pool that answers no probe. After a longer silence its upstreams
	// may be out of reach of this instance, and another one may serve the caller.
	maxSilence = time.Second
	// silenceTrialInterval is the minimum time between two requests that wait for a pool that has been silent for longer.
	silenceTrialInterval = time.Second
	// maxTimeoutDoublings bounds how often the probe timeout is doubled for a request whose probes are not answered.
	maxTimeoutDoublings = 2
)

// silence records since when no probe of a pool has been answered.
type silence struct {
	mu      sync.Mutex
	since   time.Time // of the first unanswered round; zero while probes are answered
	trialAt time.Time // when a request was last allowed to wait
}

// end records that a probe has been answered.
func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// waitUntil records an unanswered round and returns the time until which its request may wait for an answer. Once the pool
// has been silent for maxSilence, one request in silenceTrialInterval may wait: on a machine that is slow for long, only
// the longer timeouts of a request that waits are met.
func (s *silence) waitUntil(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since, s.trialAt = now, now
	}
	if now.Sub(s.since) >= maxSilence && now.Sub(s.trialAt) >= silenceTrialInterval {
		s.trialAt = now
		return now.Add(maxSilence)
	}
	return s.since.Add(maxSilence)
}

// unanswered reports whether all candidates were probed without an answer, and at least one probe timed out. The timeouts
// may be due to this machine, so that the load of the upstreams is not known; a refused connection is an answer.
func unanswered(list []*candidate) bool {
	timedOut := false
	for _, c := range list {
		if !c.failed {
			return false
		}
		timedOut = timedOut || c.timedOut
	}
	return timedOut
}

// awaitAnswer reports whether a request whose probes were not answered probes again, with a longer timeout. It does not
// while the latest answers showed a crowded pool, nor if no time would be left to run it.
func (ch *chooser) awaitAnswer(now time.Time, remote bool) bool {
	if ch.overloaded() || ch.pool.mostlyFull() {
		return false
	}
	timeout := probeTimeout(ch.target, remote, ch.unansweredRounds+1)
	work := time.Duration(workShare * float64(ch.target))
	if now.Add(reprobeDelay + timeout + work).After(ch.deadline) {
		return false
	}
	if ch.waitUntil.IsZero() {
		ch.waitUntil = ch.pool.silence.waitUntil(now)
	}
	if !now.Before(ch.waitUntil) {
		return false
	}
	ch.unansweredRounds++
	return true
}

// probeTimeout returns the timeout of probes. It doubles with each unanswered round of a request: a machine on which a
// probe takes longer than the timeout would not get any answer otherwise.
func probeTimeout(target time.Duration, remote bool, unansweredRounds int) time.Duration {
	timeout := min(max(time.Duration(probeTimeoutShare*float64(target)), minProbeTimeout), maxProbeTimeout)
	if remote {
		timeout += remoteProbeExtra
	}
	return timeout << min(unansweredRounds, maxTimeoutDoublings)
}
