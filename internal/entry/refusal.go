package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Outcome tells a caller whether its request may have run.
type Outcome string

const (
	// NotRun means that the request was not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Refusal is an error response that turmericsail sends in place of an upstream's response.
type Refusal struct {
	Status     int           `json:"-"`
	Kind       string        `json:"kind"`
	Outcome    Outcome       `json:"outcome"`
	Message    string        `json:"message"`
	Remedy     string        `json:"remedy"`
	RetryAfter time.Duration `json:"-"`
	// Challenge is the value of WWW-Authenticate, which a refusal with status 401 needs.
	Challenge string `json:"-"`
	// Close closes the caller's connection after the response.
	Close bool `json:"-"`
	// Cause is logged but not sent to the caller, because it may name upstreams.
	Cause error `json:"-"`
}

// write sends the refusal to the caller.
func (f *Refusal) write(w http.ResponseWriter, p *Protocol) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if p.Outcome != "" {
		h.Set(p.Outcome, string(f.Outcome))
	}
	if f.RetryAfter > 0 {
		h.Set("Retry-After", p.retryAfter(f.RetryAfter))
	}
	if f.Challenge != "" {
		h.Set("WWW-Authenticate", f.Challenge)
	}
	if f.Close {
		h.Set("Connection", "close")
	}
	body, _ := json.Marshal(f) // strings and numbers only
	body = append(body, '\n')
	h.Set("Content-Length", strconv.Itoa(len(body))) // net/http adds it only to a response that is not flushed early
	w.WriteHeader(f.Status)
	_, _ = w.Write(body)
}

// defaultRetryAfter is the Retry-After of refusals without a more specific delay.
const defaultRetryAfter = time.Second

func refuseNoTables() *Refusal {
	return &Refusal{Status: 503, Kind: "no-configuration", Message: "no tables are known yet", Remedy: "try again", RetryAfter: defaultRetryAfter}
}

// leavingRetryAfter is the Retry-After of an instance that leaves: other instances take the request at once.
const leavingRetryAfter = 10 * time.Millisecond

func refuseLeaving() *Refusal {
	return &Refusal{Status: 503, Kind: "leaving", Message: "the instance ends before the request may", Remedy: "try again on a new connection", RetryAfter: leavingRetryAfter, Close: true}
}

func refuseNoRoute() *Refusal {
	return &Refusal{Status: 404, Kind: "no-route", Message: "no route matches the request", Remedy: "check host and path, or add a route"}
}

func refuseNoPool() *Refusal {
	return &Refusal{Status: 503, Kind: "no-pool", Message: "the route's pool does not exist", Remedy: "create the pool"}
}

func refuseMethod() *Refusal {
	return &Refusal{Status: 501, Kind: "method-not-supported", Message: "CONNECT is not supported", Remedy: "send the request itself"}
}

func refuseTarget() *Refusal {
	return &Refusal{Status: 400, Kind: "bad-target", Message: "the path has characters that a URL cannot have", Remedy: "send them percent-encoded"}
}

func refuseHeader(limit int64) *Refusal {
	return &Refusal{Status: 431, Kind: "header-too-large", Message: "the request header is larger than " + strconv.FormatInt(limit, 10) + " bytes", Remedy: "send a smaller header", Close: true}
}

func refuseBody(limit int64) *Refusal {
	return &Refusal{Status: 413, Kind: "body-too-large", Message: "the request body is larger than " + strconv.FormatInt(limit, 10) + " bytes", Remedy: "send a smaller body, or raise max_body of the route", Close: true}
}

func refuseSlowBody() *Refusal {
	return &Refusal{Status: 408, Kind: "body-too-slow", Message: "the request body arrived too slowly", Remedy: "send the body without pauses", Close: true}
}

func refuseIncompleteBody() *Refusal {
	return &Refusal{Status: 400, Kind: "body-incomplete", Message: "the request body ended before its stated end", Remedy: "send the whole body", Close: true}
}

func refuseBadDeadline(header string) *Refusal {
	return &Refusal{Status: 400, Kind: "bad-deadline", Message: header + " is not a number of milliseconds", Remedy: "send the remaining milliseconds as a whole number"}
}

func refuseDeadline() *Refusal {
	return &Refusal{Status: 504, Kind: "deadline-exceeded", Message: "no answer began before the deadline", Remedy: "allow more time, or try again", RetryAfter: defaultRetryAfter}
}

// refuseMemory returns the refusal of a request for which the budget of memory has no room.
func refuseMemory() *Refusal {
	return &Refusal{Status: 503, Kind: "memory-in-use", Message: "the instance has no memory for the request now", Remedy: "try again with a delay, or add instances", RetryAfter: defaultRetryAfter}
}

func refuseOutsideHome() *Refusal {
	return &Refusal{Status: 421, Kind: "outside-home-regions", Message: "no entry inside the home regions of the request can be reached", Remedy: "send the request to an entry inside its home regions, or try again", RetryAfter: defaultRetryAfter}
}

// refuseQuarantined returns the refusal of a request that coincided with the loss of upstreams. ranBefore is set if an
// earlier attempt may have run and only the status can tell the caller.
func refuseQuarantined(after time.Duration, ranBefore bool) *Refusal {
	status := http.StatusServiceUnavailable
	if ranBefore {
		status = http.StatusBadGateway
	}
	return &Refusal{Status: status, Kind: "quarantined", Message: "the request coincided with the loss of upstreams", Remedy: "do not repeat it; find out why it stops the upstream", RetryAfter: after}
}

func refuseUpstream() *Refusal {
	return &Refusal{Status: 502, Kind: "upstream-failed", Message: "the upstream gave no whole answer", Remedy: "check whether the request took effect before repeating it"}
}

func refuseUnreachable() *Refusal {
	return &Refusal{Status: 503, Kind: "upstream-unreachable", Message: "no upstream could be reached", Remedy: "try again", RetryAfter: defaultRetryAfter}
}

func refuseShed(after time.Duration) *Refusal {
	return &Refusal{Status: 503, Kind: "upstream-shed", Message: "the upstreams refuse work", Remedy: "try again with a delay", RetryAfter: after}
}

func refuseClaim(kind, message, remedy string, status int) *Refusal {
	return &Refusal{Status: status, Kind: kind, Message: message, Remedy: remedy}
}

// refusePlacement returns the refusal for a failure to acquire a permit.
func refusePlacement(late bool, err error) *Refusal {
	f := placementRefusal(late, err)
	f.Cause = err
	var hint interface{ RetryAfter() time.Duration }
	if !late && errors.As(err, &hint) {
		f.RetryAfter = hint.RetryAfter()
	}
	return f
}

func placementRefusal(late bool, err error) *Refusal {
	switch {
	case late:
		return refuseDeadline()
	case fault.Is(err, fault.Exhausted):
		return &Refusal{Status: 503, Kind: "overloaded", Message: "the pool has no capacity for the request", Remedy: "try again with a delay", RetryAfter: defaultRetryAfter}
	case fault.Is(err, fault.Unavailable):
		return &Refusal{Status: 503, Kind: "no-upstream", Message: "the pool has no upstream in service", Remedy: "try again", RetryAfter: defaultRetryAfter}
	}
	return &Refusal{Status: 503, Kind: "placement-failed", Message: "no upstream could be chosen", Remedy: "try again", RetryAfter: defaultRetryAfter}
}
