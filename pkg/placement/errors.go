package placement

import (
	"errors"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Refusal is the cause of an Exhausted fault returned by Acquire. The request was not executed.
type Refusal struct {
	// Reason is a short description for logs and metrics.
	Reason string
	// RetryAfter is the estimated time until a retry can be served.
	RetryAfter time.Duration
	// NoBroker is set when the broker did not answer and this instance's static
	// share of the slots is exhausted. It does not indicate that the upstreams are loaded.
	NoBroker bool
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// RetryAfter returns the RetryAfter of a Refusal in err's chain, or zero.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.RetryAfter
	}
	return 0
}

// NoBroker reports whether err contains a Refusal because the broker did not answer.
func NoBroker(err error) bool {
	var r *Refusal
	return errors.As(err, &r) && r.NoBroker
}

func newRefusal(reason string, after time.Duration) error {
	return refusalFault(&Refusal{Reason: reason, RetryAfter: after})
}

func refusalFault(r *Refusal) error {
	return fault.Wrap(fault.Exhausted, r, "no slot for the request", "repeat the request after the given time")
}
