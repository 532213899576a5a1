package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Outcome states whether a refused request may have run.
type Outcome string

const (
	// OutcomeUnknown means that the request or an earlier copy of it may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeNotRun means that the request has not run.
	OutcomeNotRun Outcome = "not-run"
)

// Result is the result of Begin. Exactly one field is set.
type Result struct {
	// Ticket entitles its holder to run the request.
	Ticket *Ticket
	// Answer is the stored answer of an earlier copy of the request.
	Answer *StoredAnswer
	// Refusal is the reason why the request must not be run.
	Refusal *Refusal
}

// StoredAnswer is an answer that was stored by Finish.
type StoredAnswer struct{ Body []byte }

// Refusal is a classified error with the outcome that is reported to the caller. Begin
// always reports an unknown outcome: without a granted claim it cannot be determined
// whether an earlier copy ran.
type Refusal struct {
	Outcome Outcome
	Err     error
}

// Error implements error.
func (r *Refusal) Error() string { return r.Err.Error() }

// Unwrap returns the classified error.
func (r *Refusal) Unwrap() error { return r.Err }

func refuse(err error) Result { return Result{Refusal: &Refusal{OutcomeUnknown, err}} }

func storedAnswer(r claimReply) Result {
	if !r.kept {
		return refuse(fault.New(fault.OutcomeUnknown, "an earlier copy of the request ran, but its answer was not kept", "read the result at the upstream; do not send the request under a new identity"))
	}
	return Result{Answer: &StoredAnswer{r.answer}}
}

// Ticket represents a granted claim. Its holder must end it with exactly one of
// Finish, NotRun and Unknown; later calls have no effect.
type Ticket struct {
	c      *Coordinator
	key    Key
	stored chan struct{}
	// stopRefresh stops refreshing the claim.
	stopRefresh context.CancelFunc

	mu      sync.Mutex
	attempt *attempt
	// validUntil is when members may drop the claim unless it is refreshed.
	validUntil time.Time
	sending    bool
	ended      bool
}

func newTicket(c *Coordinator, key Key, a *attempt) *Ticket {
	t := &Ticket{c: c, key: key, attempt: a, stored: make(chan struct{}), validUntil: a.validUntil()}
	ctx, cancel := context.WithCancel(c.ctx)
	t.stopRefresh = cancel
	t.scheduleRefresh(ctx)
	return t
}

// MaySend reports whether the request may be sent to an upstream at now. It must be
// called directly before the first byte of each attempt is sent. The first attempt must
// start within 5 s of the first claim message. Later attempts, which require proof that
// the earlier ones did not run, may start as long as the members keep the claim. When
// MaySend returns false, the holder calls NotRun.
func (t *Ticket) MaySend(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || !now.Before(t.validUntil) {
		return false
	}
	if !t.sending {
		t.sending = t.attempt.maySend(now)
	}
	return t.sending
}

// Finish stores the answer for repeats. It returns immediately; Stored is closed when a
// write quorum holds the answer. An answer larger than MaxAnswer is not stored, and
// repeats are then refused with an unknown outcome.
func (t *Ticket) Finish(answer []byte) {
	m := t.endMessage(stateDone)
	if len(answer) <= MaxAnswer {
		m.kept, m.answer = true, answer
	}
	t.end(m)
}

// NotRun releases the claim. It may be called only with proof that the request did not
// run: no byte was sent, or the upstream reported it.
func (t *Ticket) NotRun() { t.end(t.endMessage(stateReleased)) }

// Unknown ends the claim with an unknown outcome; repeats are refused.
func (t *Ticket) Unknown() { t.end(t.endMessage(stateUnknown)) }

// Stored returns a channel that is closed when a write quorum has stored the end of the claim.
func (t *Ticket) Stored() <-chan struct{} { return t.stored }

func (t *Ticket) endMessage(s state) endMessage { return endOf(t.attempt.message, s) }

func endOf(m claimMessage, s state) endMessage {
	return endMessage{key: m.key, id: m.id, digest: m.digest, window: m.window, state: s}
}

func (t *Ticket) end(m endMessage) {
	t.mu.Lock()
	ended := t.ended
	t.ended = true
	t.mu.Unlock()
	if ended {
		return
	}
	t.stopRefresh()
	t.c.storeEnd(t.key, m, t.key.Window, func() { close(t.stored) })
}

// scheduleRefresh repeats the claim message while the request runs, because members drop
// a claim that has not been refreshed for the record window plus a margin (see heldFor).
func (t *Ticket) scheduleRefresh(ctx context.Context) {
	interval := t.key.Window / refreshesPerWindow
	timer := time.AfterFunc(interval, func() {
		if ctx.Err() == nil {
			if a, ok := t.c.refresh(ctx, t.key, t.attempt.message); ok {
				t.extend(a.validUntil())
			}
			t.scheduleRefresh(ctx)
		}
	})
	context.AfterFunc(ctx, func() { timer.Stop() })
}

func (t *Ticket) extend(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = until
}

// refreshesPerWindow is the number of refreshes in a record window; several may be lost before the claim expires.
const refreshesPerWindow = 4
