package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

var errClaimExpired = errors.New("the claim may no longer be used for sending")

// recordTimeout bounds the write of a record, which delays the end of the response.
const recordTimeout = 2 * time.Second

// runOnce runs a request with an identity at most once.
func (x *exchange) runOnce() *Refusal {
	ctx, cancel := x.waitContext()
	state, ticket, stored, err := x.e.ports.Claims.Begin(ctx, ClaimRequest{Route: &x.route, Identity: x.claimIdentity(), Digest: x.claimDigest()})
	cancel()
	if err != nil {
		if x.pastDeadline() {
			return refuseDeadline()
		}
		if x.isEnding() {
			return refuseLeaving()
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

// ticketExpired reports whether sending may no longer start under the claim.
func (x *exchange) ticketExpired() bool {
	if x.ticket == nil {
		return false
	}
	return !x.ticket.MaySend(time.Now())
}

func (x *exchange) runClaimed(t Ticket) *Refusal {
	a, refusal := x.firstResponse()
	if refusal != nil {
		x.settleClaim(t)
		return refusal
	}
	return x.sendResponse(a, t)
}

// settleClaim releases the claim of a request without a complete response, or records that it may have run.
func (x *exchange) settleClaim(t Ticket) {
	ctx, cancel := x.recordContext()
	defer cancel()
	if x.maybeRan.Load() {
		_ = t.Unknown(ctx)
		return
	}
	x.claimReleased = t.NotRun(ctx) == nil
}

// recordContext returns a context that is not cancelled when the caller disconnects, because a caller
// that lost its connection may repeat the request and needs the record. It ends early enough for the response to be sent before
// the process ends; without the record, the claim stays taken.
func (x *exchange) recordContext() (context.Context, context.CancelFunc) {
	until := time.Now().Add(recordTimeout)
	if end := x.e.endsAt.Load(); end != nil && end.Add(-recordMargin).Before(until) {
		until = end.Add(-recordMargin)
	}
	return context.WithDeadline(context.WithoutCancel(x.r.Context()), until)
}

// replay sends a stored response.
func (x *exchange) replay(s *StoredResponse) {
	x.forbid1xx()
	h := x.w.Header()
	for name, values := range s.Header {
		h[name] = values
	}
	h[x.e.proto.RequestID] = []string{x.id}
	if len(s.Body) > 0 {
		h["Content-Length"] = []string{strconv.Itoa(len(s.Body))} // without it, the end of the connection would complete it for HTTP/1.0
	}
	x.announceClose(h)
	x.announceIdle(h)
	x.report.status, x.report.outcome, x.report.bytesDown = s.Status, "stored", int64(len(s.Body))
	x.w.WriteHeader(s.Status)
	_, _ = x.w.Write(s.Body)
}

// sendRecorded records the response and sends it to the caller. A response that is
// small enough to be stored is read completely first; a larger one is streamed and
// recorded without its body.
func (c *copier) sendRecorded(t Ticket) *Refusal {
	var body bytes.Buffer
	complete, err := c.collect(&body)
	if !c.x.endCollecting(complete) && err == nil {
		err = errLeaving
	}
	if err != nil {
		refusal := refuseUpstream()
		refusal.Cause = c.a.readError(err) // before the attempt ends, which cancels it
		c.a.err = err
		c.a.end(c.collectEnding(), false)
		c.x.maybeRan.Store(true)
		c.x.settleClaim(t)
		return refusal
	}
	if complete {
		c.a.end(EndAnswered, true)
		c.record(t, storedResponse(c.a.resp, body.Bytes(), c.x.e.proto.Load))
		c.writeHeader()
		if body.Len() == 0 || c.write(body.Bytes(), false) {
			c.writeTrailers()
		}
		return nil
	}
	c.writeHeader()
	if c.write(body.Bytes(), true) {
		c.streamRecorded(t)
		return nil
	}
	c.x.maybeRan.Store(true)
	c.x.settleClaim(t)
	return nil
}

// collect reads the response until it ends or is too large to be stored.
func (c *copier) collect(body *bytes.Buffer) (complete bool, err error) {
	for body.Len() <= MaxStoredResponse {
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

// collectEnding maps the cause of a failed read of the response to the Ending that is reported for the upstream.
func (c *copier) collectEnding() Ending {
	switch cause := context.Cause(c.a.ctx); {
	case errors.Is(cause, errStalled):
		return EndTimedOut
	case cause != nil:
		return EndCancelled
	}
	return EndLost
}

// streamRecorded streams the rest of a response that is too large to be stored.
func (c *copier) streamRecorded(t Ticket) {
	c.stream()
	if c.x.report.aborted {
		c.x.maybeRan.Store(true)
		c.x.settleClaim(t)
		return
	}
	c.record(t, &StoredResponse{Status: c.a.resp.StatusCode, Dropped: true})
}

// record writes the record. If that fails, the caller still gets the response: the
// claim stays taken, so that a repeated request does not run again.
func (c *copier) record(t Ticket, s *StoredResponse) {
	ctx, cancel := c.x.recordContext()
	defer cancel()
	if err := t.Finish(ctx, s); err != nil {
		c.x.e.log.Error(err, "an answer was not recorded", "route", c.x.route.Name, "request", c.x.id)
	}
}

func storedResponse(resp *http.Response, body []byte, load string) *StoredResponse {
	if len(body) > MaxStoredResponse {
		return &StoredResponse{Status: resp.StatusCode, Dropped: true}
	}
	h := make(http.Header, len(resp.Header))
	copyEndToEnd(h, resp.Header)
	delete(h, load)
	return &StoredResponse{Status: resp.StatusCode, Header: h, Body: body}
}

// claimIdentity prefixes the identity with the workspace, so that no workspace gets the
// stored response of another.
func (x *exchange) claimIdentity() string { return x.workspace + "\x00" + x.identity }
