package sampled

import (
	"slices"
	"sync"
)

const (
	// largeResponseBytes is the mean response size from which the requests of a route stay in the region while
	// it has headroom. Operators pay for traffic between regions by volume: at the prices assumed here a response of
	// 30 kB costs about as much as it is worth, a lookup of 1.5 kB a twentieth of that.
	largeResponseBytes = 30_000
	// sizeWeight is the weight of one response in the moving average of its route.
	sizeWeight = 0.1
	// maxMeasuredRoutes bounds the number of routes whose response sizes are tracked.
	maxMeasuredRoutes = 4096
)

// responseSizes tracks the mean size of successful responses by route.
type responseSizes struct {
	mu    sync.Mutex
	means map[string]float64
}

func newResponseSizes() *responseSizes { return &responseSizes{means: map[string]float64{}} }

func (s *responseSizes) record(route string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.means[route]
	switch {
	case !known && len(s.means) >= maxMeasuredRoutes:
	case !known:
		s.means[route] = float64(size)
	default:
		s.means[route] = mean + sizeWeight*(float64(size)-mean)
	}
}

// hasLargeResponses reports whether the mean response size of the route reaches largeResponseBytes.
func (s *responseSizes) hasLargeResponses(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.means[route] >= largeResponseBytes
}

// partitionLocalFirst moves the candidates of the local region to the front, keeping
// their order, and returns their number, or the length of the list if there are none.
func partitionLocalFirst(list []*candidate) int {
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
