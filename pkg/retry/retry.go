package retry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Headers that carry the position of a call in a chain of calls.
const (
	// DepthHeader is the depth of the call that an upstream works on. An upstream
	// copies it to the calls that it makes.
	DepthHeader = "Turmericsail-Depth"
	// BudgetHeader is the number of retries that the caller allows the levels below it.
	BudgetHeader = "Turmericsail-Retry-Budget"
)

// Settings bound retries.
type Settings struct {
	// BackoffBase is the mean delay before the first retry.
	BackoffBase time.Duration
	// BackoffMax bounds the mean delay.
	BackoffMax time.Duration
}

// DefaultSettings returns delays for services with a latency of about 10 ms.
func DefaultSettings() Settings {
	return Settings{BackoffBase: 5 * time.Millisecond, BackoffMax: 500 * time.Millisecond}
}

// Policy decides on retries for the requests of one pool.
type Policy struct {
	settings Settings
	budget   *Budget
	random   func() float64
}

// NewPolicy returns a policy that takes its retries from the budget. The random function
// returns values in [0, 1); nil means the global generator.
func NewPolicy(s Settings, b *Budget, random func() float64) *Policy {
	if random == nil {
		random = rand.Float64
	}
	return &Policy{settings: s, budget: b, random: random}
}

// Sequence tracks the attempts of one request.
type Sequence struct {
	policy  *Policy
	request Request
	tried   []string
	retries int
}

// Start counts a request, which adds to the budget, and returns its Sequence.
func (p *Policy) Start(r Request) *Sequence {
	p.budget.Request()
	return &Sequence{policy: p, request: r}
}

// Resume returns the Sequence of a request that was already counted and retried
// the given number of times.
func (p *Policy) Resume(r Request, retries int) *Sequence {
	return &Sequence{policy: p, request: r, retries: retries}
}

// Tried returns the upstreams that must not be tried again.
func (s *Sequence) Tried() []string { return slices.Clone(s.tried) }

// MarkTried records an attempt on the upstream. It returns false if the upstream was
// tried before; the attempt must then not be sent.
func (s *Sequence) MarkTried(upstream string) bool {
	if slices.Contains(s.tried, upstream) {
		return false
	}
	s.tried = append(s.tried, upstream)
	return true
}

// Failed decides whether and when a failed attempt is retried.
func (s *Sequence) Failed(now time.Time, a Attempt) Decision {
	if reason := s.forbidden(a); reason != "" {
		return Decision{Reason: reason}
	}
	delay := max(a.RetryAfter, s.policy.backoff(s.retries))
	if !s.request.Deadline.IsZero() && !now.Add(delay).Before(s.request.Deadline) {
		return Decision{Reason: "the deadline comes before the next attempt"}
	}
	if !s.policy.budget.Take() {
		return Decision{Reason: "the retry budget is used up"}
	}
	s.retries++
	return Decision{Retry: true, Delay: delay}
}

func (s *Sequence) forbidden(a Attempt) string {
	switch {
	case !s.request.Idempotent && !a.NotRun:
		return "the request is not idempotent and may have run"
	case s.retries+1 >= s.request.MaxAttempts:
		return "the attempts of the route are used up"
	case s.request.Depth > 1 && s.retries >= s.request.CallerBudget:
		return "an outer level of the call retries"
	}
	return ""
}

// backoff returns the delay before a retry. The mean doubles with each retry; jitter
// of 0.5 to 1.5 times the mean keeps callers that failed at the same time from
// retrying at the same time.
func (p *Policy) backoff(retries int) time.Duration {
	mean := p.settings.BackoffMax
	if shifted := p.settings.BackoffBase << min(retries, 20); shifted < mean {
		mean = shifted
	}
	return time.Duration(float64(mean) * (0.5 + p.random()))
}

// Depth returns the depth of a call from its headers: 1 for a call without
// DepthHeader. An invalid value counts as a nested call, so that retries cannot
// multiply across levels.
func Depth(h http.Header) int {
	v := h.Get(DepthHeader)
	if v == "" {
		return 1
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 {
		return 2
	}
	return n + 1
}

// CallerBudget returns the number of retries that the caller allows this level, from BudgetHeader.
func CallerBudget(h http.Header) int {
	n, err := strconv.Atoi(h.Get(BudgetHeader))
	if err != nil {
		return 0
	}
	return max(0, n)
}

// SetHeaders sets the depth of the call on a request to an upstream, and the number
// of retries allowed to the levels below, which is zero unless the caller granted some.
func SetHeaders(h http.Header, depth, budget int) {
	h.Set(DepthHeader, strconv.Itoa(depth))
	h.Del(BudgetHeader)
	if budget > 0 {
		h.Set(BudgetHeader, strconv.Itoa(budget))
	}
}
