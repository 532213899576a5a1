package entry

import (
	"context"
	"errors"
	"time"
)

// stop ends an attempt that has no answer.
func (a *attempt) stop(f failure, err error) {
	a.fail, a.err = f, err
	cause := context.Cause(a.ctx)
	switch {
	case f == failBody: // net/http cancels the request's context when its body fails
	case errors.Is(cause, errDeadline):
		a.fail = failLate
	case errors.Is(cause, errCut): // the caller still waits
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

// ending is what the failure tells about the upstream.
func (a *attempt) ending() Ending {
	switch a.fail {
	case failLate:
		return EndLate
	case failCancelled, failBody:
		return EndCancelled
	case failLost:
		return EndLost
	}
	return EndNotRun
}

// read reads the answer's body.
func (a *attempt) read(p []byte) (int, error) {
	n, err := a.resp.Body.Read(p)
	a.down += int64(n)
	return n, err
}

// discardAnswer gives up an answer that is not passed on.
func (a *attempt) discardAnswer(e Ending) {
	if !a.ended {
		whole := e != EndCancelled && drain(a.resp.Body)
		a.end(e, whole)
	}
}

// end gives back connection and permit. The connection is only used again after
// a whole answer to a wholly sent request; everything else could put the rest of
// this answer before the next one.
func (a *attempt) end(e Ending, whole bool) {
	if a.ended {
		return
	}
	a.ended = true
	a.forget()
	if a.conn != nil {
		sentAll := a.body == nil || a.body.ended.Load()
		if whole && sentAll && !a.resp.Close {
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

// forget takes the attempt from the guard timer.
func (a *attempt) forget() {
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

// finish reports the result to everyone who learns from it.
func (a *attempt) finish(e Ending) {
	if a.permit == nil {
		return
	}
	r := Result{Ending: e, FirstByte: a.firstByte, BytesDown: a.down}
	if !a.sentAt.IsZero() {
		r.Total = time.Since(a.sentAt)
	}
	if a.resp != nil {
		r.Status = a.resp.StatusCode
	}
	a.permit.Done(r)
	a.observe(r)
	if lost := e == EndLost; (lost || e == EndAnswered) && a.x.print != (Fingerprint{}) {
		a.x.e.ports.Quarantine.Ended(&a.x.route, a.x.print, a.upstream, lost)
	}
	a.x.e.countRegions(a.upstream.Region, a.bytesUp(), a.down)
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
	o := &Observation{Pool: &a.x.pool, Route: &a.x.route, Upstream: a.upstream, Result: r, BytesUp: a.bytesUp(), BytesDown: a.down}
	if a.resp != nil {
		o.Load = a.resp.Header.Get(a.x.e.proto.Load)
	}
	o.Refused = r.Ending == EndNotRun && a.conn == nil && a.err != nil && !errors.Is(a.err, errNoConnection)
	for _, observer := range a.x.e.ports.Observers {
		observer.Observe(o)
	}
}
