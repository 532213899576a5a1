package sampled

import (
	"math"
	"sync"
	"time"
)

// suspicionHalfLife is the half-life of a suspicion. It lets a flapping or restarting
// upstream be tried again within a few seconds.
const suspicionHalfLife = 2 * time.Second

// timeoutWeight is the suspicion added by a probe that timed out. It is below that of
// a failure, because the cause may be this machine: only the second timeout in a row
// makes the upstream a suspect.
const timeoutWeight = 0.4

// shedWeight is the suspicion added by a request that was not executed although the
// reading showed headroom: enough to probe others first for about a second.
const shedWeight = 0.7

// suspicions tracks recent failures by upstream. It detects upstreams that fail
// requests although their health checks succeed.
type suspicions struct {
	mu   sync.Mutex
	list map[string]suspicion
}

type suspicion struct {
	level float64
	at    time.Time
}

func newSuspicions() *suspicions { return &suspicions{list: map[string]suspicion{}} }

func (s suspicion) decayed(now time.Time) float64 {
	return s.level * math.Exp2(-float64(now.Sub(s.at))/float64(suspicionHalfLife))
}

// recordFailure raises the suspicion of an upstream by weight.
func (s *suspicions) recordFailure(id string, weight float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[id] = suspicion{min(s.list[id].decayed(now)+weight, 2), now}
}

// recordSuccess halves the suspicion of an upstream.
func (s *suspicions) recordSuccess(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.list[id]; ok {
		if level := old.decayed(now) / 2; level > 0.05 {
			s.list[id] = suspicion{level, now}
			return
		}
		delete(s.list, id)
	}
}

// level returns the suspicion of an upstream, at most 1.
func (s *suspicions) level(id string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.list[id]
	if !ok {
		return 0
	}
	level := old.decayed(now)
	if level < 0.05 {
		delete(s.list, id)
		return 0
	}
	return min(level, 1)
}
