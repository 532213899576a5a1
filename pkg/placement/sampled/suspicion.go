package sampled

import (
	"math"
	"sync"
	"time"
)

// suspicionHalf is the time after which half of a suspicion is left. A flapping
// or restarting upstream is tried again within a few seconds.
const suspicionHalf = 2 * time.Second

// silentWeight is the suspicion after a question without an answer in time. It is
// below that of a failure, because the cause may be this machine: the second one in
// a row makes a suspect.
const silentWeight = 0.4

// shedWeight is the suspicion after a request that was not run although the reading
// showed room: enough to ask others first for a second or so.
const shedWeight = 0.7

// suspicions remembers which upstreams failed. It answers upstreams that fail
// requests while their health answers are good.
type suspicions struct {
	mu   sync.Mutex
	list map[string]suspicion
}

type suspicion struct {
	level float64
	at    time.Time
}

func newSuspicions() *suspicions { return &suspicions{list: map[string]suspicion{}} }

func (s suspicion) now(now time.Time) float64 {
	return s.level * math.Exp2(-float64(now.Sub(s.at))/float64(suspicionHalf))
}

// failed raises the suspicion of an upstream.
func (s *suspicions) failed(id string, weight float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[id] = suspicion{min(s.list[id].now(now)+weight, 2), now}
}

// answered lowers the suspicion of an upstream by half.
func (s *suspicions) answered(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.list[id]; ok {
		if level := old.now(now) / 2; level > 0.05 {
			s.list[id] = suspicion{level, now}
			return
		}
		delete(s.list, id)
	}
}

// of returns the suspicion of an upstream, at most 1.
func (s *suspicions) of(id string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.list[id]
	if !ok {
		return 0
	}
	level := old.now(now)
	if level < 0.05 {
		delete(s.list, id)
		return 0
	}
	return min(level, 1)
}
