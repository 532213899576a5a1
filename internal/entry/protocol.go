package entry

import (
	"net/http"
	"strconv"
	"time"
)

// Protocol defines the headers that an entry exchanges with callers and upstreams and
// how it interprets them. An empty name turns the header off. Names must be in
// canonical form, because header maps are read and written directly.
type Protocol struct {
	// RequestID identifies a request to callers and upstreams, and in logs.
	RequestID string
	// Deadline carries the remaining time in milliseconds, from callers and to upstreams.
	Deadline string
	// Outcome tells callers whether a refused request may have run.
	Outcome string
	// Load carries the load report of an upstream.
	Load string
	// KeepLoad forwards the load report to callers.
	KeepLoad bool
	// ExpectUpstream carries the ID of the intended upstream; any other upstream refuses the request.
	ExpectUpstream string
	// Signature is set on every 2xx response of an upstream. A 2xx response without it is treated as
	// not sent by the upstream.
	Signature string
	// EchoesRequestID is set if upstreams repeat the request ID in each response. One without it, or with another one,
	// is then not taken for the response to a request.
	EchoesRequestID bool
	// Workspace tells upstreams the workspace of a request. It replaces what the caller sent where requests need an API key.
	Workspace string
	// NotRun reports whether a response states that the upstream did not run the request.
	NotRun func(*http.Response) bool
	// Intake returns what a response states about the requests that its upstream takes; nil if nothing is stated.
	Intake func(status int, h http.Header) Intake
	// BufferResponse is the number of bytes of the response to an idempotent request that are read before any
	// of it is sent to the caller, so that the request can be retried if the upstream breaks off. With zero,
	// nothing is buffered.
	BufferResponse int
	// RetryFailures retries idempotent requests on another upstream after any 5xx response, not only after 503.
	RetryFailures bool
	// FineRetryAfter writes Retry-After with milliseconds, as a decimal fraction of seconds.
	FineRetryAfter bool
	// RetryOpensConnection is set if callers open a new connection for each retry.
	RetryOpensConnection bool
	// Plain omits the headers that describe the path of a request (Via, X-Forwarded-*, depth).
	Plain bool
}

// Intake is what an upstream states in a response about the requests that it takes.
type Intake struct {
	// Leaving is set if it takes no further ones.
	Leaving bool
	// Pause is the time for which it takes none from this instance; zero if it does not say so.
	Pause time.Duration
	// PerSecond is the number that it takes from all instances together, if Limited is set.
	PerSecond float64
	Limited   bool
	// Success is set if the response is a success, which has everything that the upstream states.
	Success bool
}

// DefaultProtocol returns turmericsail's own protocol.
func DefaultProtocol() Protocol {
	return Protocol{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Outcome: HeaderOutcome, Load: HeaderLoad, Workspace: HeaderWorkspace,
		NotRun: func(resp *http.Response) bool {
			return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderOutcome) == string(NotRun)
		},
	}
}

// retryAfter formats the value of Retry-After. Seconds are rounded up to
// an integer, so that a caller never retries too early.
func (p *Protocol) retryAfter(d time.Duration) string {
	if p.FineRetryAfter {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// rejectReason returns why a response cannot be the upstream's response to this request, or "".
func (p *Protocol) rejectReason(resp *http.Response, id string) string {
	if p.EchoesRequestID {
		switch resp.Header.Get(p.RequestID) {
		case id:
		case "":
			return "the response names no request" // it may be that to a probe, once more
		default:
			return "the response belongs to another request"
		}
	}
	if p.Signature != "" && resp.StatusCode >= 200 && resp.StatusCode < 300 && resp.Header.Get(p.Signature) == "" {
		return "the 2xx response has no signature"
	}
	return ""
}
