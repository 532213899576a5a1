package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// advisedPlacement advises when callers return whose request was refused by upstreams.
type advisedPlacement struct {
	Placement
	after time.Duration
	ok    bool
}

var _ ShedAdvisor = advisedPlacement{}

// RetryAfterShed implements ShedAdvisor.
func (p advisedPlacement) RetryAfterShed(AcquireRequest, time.Time) (time.Duration, bool) {
	return p.after, p.ok
}

// Guards against a fixed delay of a second for requests that upstreams refuse, by which callers miss their target
// although upstreams have room.
func TestCallerOfARefusedRequestReturnsWhenPlacementAdvises(t *testing.T) {
	for _, c := range []struct {
		name   string
		advice advisedPlacement
		stated string
		want   string
	}{
		{"advised", advisedPlacement{after: 250 * time.Millisecond, ok: true}, "", "0.250"},
		{"not advised", advisedPlacement{}, "", "1.000"},
		{"stated by the upstream", advisedPlacement{after: 250 * time.Millisecond, ok: true}, "3", "3.000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			up := serveUpstream(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testRefusal, "1")
				if c.stated != "" {
					w.Header().Set("Retry-After", c.stated)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			h := newHarness(t, testRoute(), []string{up}, withPorts(func(p *Ports) {
				c.advice.Placement = &LeastInFlight{}
				p.Placement = c.advice
				p.Protocol = &Protocol{RequestID: testRequestID, FineRetryAfter: true, Plain: true, NotRun: func(r *http.Response) bool { return r.Header.Get(testRefusal) != "" }}
			}))
			r := h.do("GET", "/", nil)
			is.Equal(r.status, http.StatusServiceUnavailable)
			is.Equal(r.header.Get("Retry-After"), c.want)
		})
	}
}
