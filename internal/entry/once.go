package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

var errClaimExpired = errors.New("the claim may no longer be used for sending")

// recordTimeout bounds the writing of a record, which delays the end of the answer.
const recordTimeout = 2 * time.Second

// runOnce runs a request with an identity at most once.
func (x *exchange) runOnce() *Refusal {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	state, ticket, stored, err := x.e.ports.Claims.Begin(ctx, ClaimRequest{Route: &x.route, Identity: x.claimIdentity(), Digest: x.claimDigest()})
	if err != nil {
		if x.late() {
			return refuseLate()
		}
		return refuseClaim("no-record", "the at-most-once record of the request cannot be read", "try again with the same identity", http.StatusServiceUnavailable)
	}
	switch state {
	case ClaimGranted:
		x.ticket = ticket
		return x.runClaimed(ticket)
	case ClaimAnswered:
		x.replay(stored)
		return nil
	case ClaimRan:
		return refuseClaim("already-ran", "the request ran before and its answer was not kept", "read the result by other means; do not repeat it", http.StatusConflict)
	case ClaimMismatch:
		return refuseClaim("identity-reused", "the identity belongs to a different request", "use a new identity for a new request", http.StatusUnprocessableEntity)
	}
	return refuseClaim("already-sent", "an earlier copy of the request may have run", "check whether it took effect", http.StatusConflict)
}

// ticketExpired reports whether the claim forbids to start sending.
func (x *exchange) ticketExpired() bool {
	if x.ticket == nil {
		return false
	}
	return !x.ticket.MaySend(time.Now())
}

func (x *exchange) runClaimed(t Ticket) *Refusal {
	a, refusal := x.firstAnswer()
	if refusal != nil {
		x.settle(t)
		return refusal
	}
	return x.answer(a, t)
}

// settle records the end of a claim without an answer.
func (x *exchange) settle(t Ticket) {
	ctx, cancel := x.recordContext()
	defer cancel()
	if x.maybeRan.Load() {
		_ = t.Unknown(ctx)
		return
	}
	x.released = t.NotRun(ctx) == nil
}

// recordContext outlives the caller: the record matters most when the caller is gone.
func (x *exchange) recordContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(x.r.Context()), recordTimeout)
}

// replay sends a stored answer.
func (x *exchange) replay(s *StoredAnswer) {
	x.forbid1xx()
	h := x.w.Header()
	for name, values := range s.Header {
		h[name] = values
	}
	h[x.e.proto.RequestID] = []string{x.id}
	x.report.status, x.report.outcome, x.report.down = s.Status, "stored", int64(len(s.Body))
	x.w.WriteHeader(s.Status)
	_, _ = x.w.Write(s.Body)
}

// once records the answer and passes it on. An answer that fits is read whole
// first; a larger one is streamed and recorded without its body.
func (c *copier) once(t Ticket) *Refusal {
	var body bytes.Buffer
	whole, err := c.collect(&body)
	if err != nil {
		c.a.end(EndLost, false)
		c.x.maybeRan.Store(true)
		c.x.settle(t)
		return refuseUpstream()
	}
	if whole {
		c.a.end(EndAnswered, true)
		c.finish(t, storedAnswer(c.a.resp, body.Bytes(), c.x.e.proto.Load))
		c.head()
		if body.Len() == 0 || c.write(body.Bytes(), false) {
			c.trailers()
		}
		return nil
	}
	c.head()
	if c.write(body.Bytes(), true) {
		c.streamOnce(t)
		return nil
	}
	c.x.maybeRan.Store(true)
	c.x.settle(t)
	return nil
}

// collect reads the answer until it ends or is too large to be stored.
func (c *copier) collect(body *bytes.Buffer) (whole bool, err error) {
	for body.Len() <= MaxStoredAnswer {
		c.x.watch(phaseReading)
		n, err := c.a.read(c.buf)
		body.Write(c.buf[:n])
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// streamOnce streams the rest of an answer that is too large to keep.
func (c *copier) streamOnce(t Ticket) {
	c.stream()
	if c.x.report.abort {
		c.x.maybeRan.Store(true)
		c.x.settle(t)
		return
	}
	c.finish(t, &StoredAnswer{Status: c.a.resp.StatusCode, Dropped: true})
}

// finish writes the record. If it fails, the caller still gets its answer: the
// claim stays taken, so that no repeat runs.
func (c *copier) finish(t Ticket, s *StoredAnswer) {
	ctx, cancel := c.x.recordContext()
	defer cancel()
	if err := t.Finish(ctx, s); err != nil {
		c.x.e.log.Error(err, "an answer was not recorded", "route", c.x.route.Name, "request", c.x.id)
	}
}

func storedAnswer(resp *http.Response, body []byte, load string) *StoredAnswer {
	if len(body) > MaxStoredAnswer {
		return &StoredAnswer{Status: resp.StatusCode, Dropped: true}
	}
	h := make(http.Header, len(resp.Header))
	copyEndToEnd(h, resp.Header)
	delete(h, load)
	return &StoredAnswer{Status: resp.StatusCode, Header: h, Body: body}
}

// claimIdentity keeps the identities of workspaces apart, so that no workspace gets the
// stored answer of another.
func (x *exchange) claimIdentity() string { return x.workspace + "\x00" + x.identity }
