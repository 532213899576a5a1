package entry

import (
	"net/http"
	"strconv"
	"time"
)

// Protocol names the headers that an entry exchanges with its neighbours and
// reads their meaning. The zero value of a name turns the header off. Names are
// in canonical form, because header maps are read and written directly.
type Protocol struct {
	// RequestID names a request towards callers, upstreams and in logs.
	RequestID string
	// Deadline carries the time left in milliseconds, from callers and to upstreams.
	Deadline string
	// Outcome tells callers whether a refused request may have run.
	Outcome string
	// Load carries the load report of an upstream.
	Load string
	// KeepLoad passes the load report on to callers.
	KeepLoad bool
	// ExpectUpstream carries the ID of the upstream that the request is for; another one refuses the request.
	ExpectUpstream string
	// Signature is on every success of an upstream. A success without it is not an upstream's answer.
	Signature string
	// EchoesRequestID is set where upstreams repeat the request's ID, which tells a late
	// answer to an earlier request from the answer to this one.
	EchoesRequestID bool
	// NotRun reports whether an answer states that the upstream did not run the request.
	NotRun func(*http.Response) bool
	// BufferAnswer is the number of bytes of an idempotent request's answer that are read before any of it
	// is passed on, so that another upstream can answer when this one breaks off. Zero passes all on at once.
	BufferAnswer int
	// RetryFailures sends idempotent requests to another upstream after any 5xx answer, not only after 503.
	RetryFailures bool
	// FineRetryAfter writes Retry-After with a fraction of a second.
	FineRetryAfter bool
	// Plain leaves out the headers that describe the path of a request (Via, X-Forwarded-*, depth).
	Plain bool
}

// DefaultProtocol is turmericsail's own protocol.
func DefaultProtocol() Protocol {
	return Protocol{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Outcome: HeaderOutcome, Load: HeaderLoad,
		NotRun: func(resp *http.Response) bool {
			return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun)
		},
	}
}

// retryAfter formats the value of Retry-After. Whole seconds are rounded up, so
// that a caller never returns early.
func (p *Protocol) retryAfter(d time.Duration) string {
	if p.FineRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// foreign reports why an answer cannot be the upstream's answer to this request, or "".
func (p *Protocol) foreign(resp *http.Response, id string) string {
	if p.EchoesRequestID {
		if echoed := resp.Header.Get(p.RequestID); echoed != "" && echoed != id {
			return "the answer belongs to another request"
		}
	}
	if p.Signature != "" && resp.StatusCode >= 200 && resp.StatusCode < 300 && resp.Header.Get(p.Signature) == "" {
		return "the success has no signature"
	}
	return ""
}
