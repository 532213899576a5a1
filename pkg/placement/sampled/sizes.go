package sampled

import (
	"slices"
	"sync"
)

const (
	// heavyAnswer is the mean size in bytes from which the answers of a route are kept in the region while
	// it has room. Operators pay for traffic between regions by volume: at the sites' prices an answer of
	// 30 kB costs about as much as it is worth, a lookup of 1.5 kB a twentieth of that.
	heavyAnswer = 30_000
	// sizeWeight is the weight of one answer in the mean of its route.
	sizeWeight = 0.1
	// maxSizeRoutes bounds the routes whose answers are measured.
	maxSizeRoutes = 4096
)

// answerSizes is the mean size of the good answers of each route.
type answerSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

func newAnswerSizes() *answerSizes { return &answerSizes{means: map[string]float64{}} }

func (s *answerSizes) note(route string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.means[route]
	switch {
	case !known && len(s.means) >= maxSizeRoutes:
	case !known:
		s.means[route] = float64(size)
	default:
		s.means[route] = mean + sizeWeight*(float64(size)-mean)
	}
}

// heavy reports whether the route's answers are large.
func (s *answerSizes) heavy(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.means[route] >= heavyAnswer
}

// nearest moves the candidates of the own region to the front, keeps their order
// and returns their number; without any it returns the number of all.
func nearest(list []*candidate) int {
	slices.SortStableFunc(list, func(a, b *candidate) int {
		switch {
		case a.remote() == b.remote():
			return 0
		case a.remote():
			return 1
		}
		return -1
	})
	if n := slices.IndexFunc(list, (*candidate).remote); n > 0 {
		return n
	}
	return len(list)
}
