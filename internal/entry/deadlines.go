package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// deadlineHistory estimates how long a caller has been trying from the remaining time that it sends.
//
// A caller that retries after a refusal sends what is left of its deadline, on a new connection. Callers
// differ in their deadlines, so only a remaining time below that of all first tries proves an earlier
// try. The requests after the first one on a connection are first tries; their deadlines show how much
// callers differ.
type deadlineHistory struct {
	mu     sync.Mutex
	routes map[string]*routeDeadlines
}

// routeDeadlines holds the deadlines of a route in the current period and in the one before.
type routeDeadlines struct {
	since         time.Time
	current, last deadlineRange
}

// deadlineRange summarizes the deadlines of one period.
type deadlineRange struct {
	longest       time.Duration // of all requests
	shortestFirst time.Duration // of the known first tries
	firstTries    int
}

const (
	// deadlinePeriod is the minimum time for which a deadline is recorded. Older ones
	// expire, so that a single caller with an unusual deadline has no lasting effect.
	deadlinePeriod = 20 * time.Second
	// minFirstTries is the number of known first tries from which their shortest deadline is used.
	minFirstTries = 10
	// maxDeadlineRoutes bounds the routes with recorded deadlines.
	maxDeadlineRoutes = 4096
)

func newDeadlineHistory() *deadlineHistory {
	return &deadlineHistory{routes: map[string]*routeDeadlines{}}
}

// elapsed estimates how long the caller of a request with the given remaining time has been trying,
// and records that time. firstTry is set if the request is known to be a first try. The estimate never
// exceeds the real time while the recorded first tries cover the callers' deadlines.
func (h *deadlineHistory) elapsed(route string, remaining time.Duration, firstTry bool) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.routes[route]
	if d == nil {
		if len(h.routes) >= maxDeadlineRoutes {
			return 0
		}
		d = &routeDeadlines{}
		h.routes[route] = d
	}
	if now := time.Now(); now.Sub(d.since) > deadlinePeriod {
		d.since, d.last, d.current = now, d.current, deadlineRange{}
	}
	d.current.add(remaining, firstTry)
	if firstTry {
		return 0
	}
	return max(h.shortestFirst(d)-remaining, 0)
}

// shortestFirst returns the shortest deadline of first tries of a route, or zero if it is not known. Callers that
// open a connection for each request show no first tries, so the range of other routes is applied to their longest deadline.
func (h *deadlineHistory) shortestFirst(d *routeDeadlines) time.Duration {
	if r := d.recent(); r.firstTries >= minFirstTries {
		return r.shortestFirst
	}
	ratio, known := 1.0, false
	for _, other := range h.routes {
		if r := other.recent(); r.firstTries >= minFirstTries {
			ratio, known = min(ratio, float64(r.shortestFirst)/float64(r.longest)), true
		}
	}
	if !known {
		return 0
	}
	return time.Duration(ratio * float64(d.recent().longest))
}

// recent returns the range of both periods.
func (d *routeDeadlines) recent() deadlineRange {
	r := d.current
	r.longest = max(r.longest, d.last.longest)
	if d.last.firstTries > 0 {
		if r.firstTries == 0 || d.last.shortestFirst < r.shortestFirst {
			r.shortestFirst = d.last.shortestFirst
		}
		r.firstTries += d.last.firstTries
	}
	return r
}

func (r *deadlineRange) add(remaining time.Duration, firstTry bool) {
	r.longest = max(r.longest, remaining)
	if !firstTry {
		return
	}
	if r.firstTries == 0 || remaining < r.shortestFirst {
		r.shortestFirst = remaining
	}
	r.firstTries++
}

// requestCountKey is the context key of a connection's request count, an *atomic.Int64.
type requestCountKey struct{}

// countRequests is the ConnContext hook of the callers' server; see reusesConnection.
func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestCountKey{}, new(atomic.Int64))
}

// reusesConnection counts a request and reports whether its connection has carried one before.
func reusesConnection(ctx context.Context) bool {
	n, ok := ctx.Value(requestCountKey{}).(*atomic.Int64)
	return ok && n.Add(1) > 1
}
