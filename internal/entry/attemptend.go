package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/respcheck"
)

// stop ends an attempt that has no response.
func (a *attempt) stop(f failure, err error) {
	a.fail, a.err = f, err
	cause := context.Cause(a.ctx)
	switch {
	case f == failBody: // net/http cancels the request's context when its body fails
	case errors.Is(cause, errDeadline):
		a.fail = failDeadline
	case errors.Is(cause, errLeaving):
		a.fail = failLeaving
	case errors.Is(cause, errPermitRevoked): // the caller is still waiting
	case cause != nil && a.x.body.interrupted(): // before the read that was interrupted has returned
		a.fail = failBody
	case cause != nil:
		a.fail = failCancelled
	}
	if a.sent {
		a.x.maybeRan.Store(true)
	} else if !a.sentAt.IsZero() {
		a.x.mu.Lock()
		a.x.report.notRun++
		a.x.mu.Unlock()
	}
	a.end(a.ending(), false)
}

// ending maps the failure to the Ending that is reported for the upstream.
func (a *attempt) ending() Ending {
	switch a.fail {
	case failDeadline:
		return EndTimedOut
	case failCancelled, failBody:
		return EndCancelled
	case failLost:
		return EndLost
	case failLeaving:
		if a.sent {
			return EndCancelled
		}
	}
	return EndNotRun
}

// read reads the response body.
func (a *attempt) read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	a.bytesDown += int64(n)
	return n, err
}

// readError returns why a read of the response failed.
func (a *attempt) readError(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return cause
	}
	return err
}

// discardResponse ends an attempt whose response is not sent to the caller.
func (a *attempt) discardResponse(e Ending) {
	if !a.ended {
		complete := false
		if e != EndCancelled { // the response is not needed, and its status counts although its body may be broken
			var err error
			if complete, err = drain(a.resp.Body); respcheck.Broken(err) {
				a.err = err
			}
		}
		a.end(e, complete)
	}
}

// end releases the connection and the permit. The connection is reused only if the
// request was sent and the response received completely; otherwise leftover bytes of
// this response could be read as part of the next one.
func (a *attempt) end(e Ending, complete bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.unregister()
	if a.conn != nil {
		sentAll := a.body == nil || a.body.atEOF.Load()
		if complete && sentAll && !a.resp.Close {
			a.conn.pool.put(a.conn)
		} else {
			a.conn.pool.discard(a.conn)
		}
	}
	if a.body != nil {
		_ = a.body.Close()
	}
	a.cancel(errEnded)
	a.finish(e)
}

// unregister removes the attempt from the live attempts, which the watchdog timer cancels.
func (a *attempt) unregister() {
	x := a.x
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, l := range x.live {
		if l == a {
			x.live = append(x.live[:i], x.live[i+1:]...)
			return
		}
	}
}

// finish reports the result to the permit, the observers, quarantine and the metrics.
func (a *attempt) finish(e Ending) {
	if a.permit == nil {
		return
	}
	r := Result{Ending: e, FirstByte: a.firstByte, BytesDown: a.bytesDown}
	if !a.sentAt.IsZero() {
		r.Total = time.Since(a.sentAt)
	}
	if a.broken() {
		a.x.logAttempt(a) // once more, since the line of the response's header has no error
	}
	if refused := e == EndNotRun || e == EndAnswered; a.resp != nil && (refused || !a.broken()) {
		r.Status = a.resp.StatusCode
	}
	a.permit.Done(r)
	a.observe(r)
	served := e == EndAnswered && r.Status < http.StatusInternalServerError
	if lost := e == EndLost; lost || served {
		a.reportRun(RunEnd{Upstream: a.upstream, Began: a.sentAt, Lost: lost})
	}
	a.x.e.countCrossRegion(a.upstream.Region, a.bytesUp(), a.bytesDown)
}

// broken reports whether the response turned out to be malformed or was cut short after its header.
func (a *attempt) broken() bool { return a.resp != nil && respcheck.Broken(a.err) }

// reportRun reports the end of a run to quarantine. The fingerprint of a body that was not read before sending is known
// only now.
func (a *attempt) reportRun(end RunEnd) {
	x := a.x
	if x.fingerprint == (Fingerprint{}) && x.headFingerprint != (Fingerprint{}) && end.Lost {
		x.fingerprint = x.bodyFingerprint()
		head := end
		head.WithoutBody = true
		x.e.ports.Quarantine.Ended(&x.route, x.headFingerprint, head)
	}
	if x.fingerprint != (Fingerprint{}) {
		x.e.ports.Quarantine.Ended(&x.route, x.fingerprint, end)
	}
}

func (a *attempt) bytesUp() int64 {
	if a.body == nil {
		return 0
	}
	return a.body.sent.Load()
}

func (a *attempt) observe(r Result) {
	if len(a.x.e.ports.Observers) == 0 || a.permit == nil {
		return
	}
	o := &Observation{Pool: &a.x.pool, Route: &a.x.route, Upstream: a.upstream, Result: r, BytesUp: a.bytesUp(), BytesDown: a.bytesDown, Hedge: a.second}
	o.Superseded = r.Ending == EndCancelled && errors.Is(context.Cause(a.ctx), errSuperseded)
	if a.resp != nil && !a.broken() {
		o.Load = a.resp.Header.Get(a.x.e.proto.Load)
	}
	o.Refused = r.Ending == EndNotRun && a.conn == nil && a.err != nil && !errors.Is(a.err, errNoConnection)
	for _, observer := range a.x.e.ports.Observers {
		observer.Observe(o)
	}
}
