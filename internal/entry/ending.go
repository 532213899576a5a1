package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errLeaving ends requests without a response when the process is about to end.
var errLeaving = errors.New("the instance ends")

// endingRequests ends the requests that have no response shortly before the process ends, so that their callers get a refusal:
// first the waits of those that no upstream has, then those at which an upstream is at work.
type endingRequests struct {
	mu          sync.Mutex
	all         map[*exchange]struct{}
	ended       bool // the waits
	waits, runs *time.Timer
}

// endAt sets when waits and runs end. A later call replaces an earlier one.
func (r *endingRequests) endAt(waits, runs time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waits != nil {
		r.waits.Stop()
		r.runs.Stop()
	}
	r.waits = time.AfterFunc(time.Until(waits), r.endWaits)
	r.runs = time.AfterFunc(time.Until(runs), r.endRuns)
}

func (r *endingRequests) endWaits() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	for _, x := range r.registered() {
		go x.endWaits() // forward1xx may hold the mutex of a request for long
	}
}

func (r *endingRequests) endRuns() {
	for _, x := range r.registered() {
		go x.endRuns() // as in endWaits
	}
}

func (r *endingRequests) registered() []*exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*exchange, 0, len(r.all))
	for x := range r.all {
		all = append(all, x)
	}
	return all
}

// abortResponses aborts the responses that the end of their connections would complete, before all connections are closed. There is
// no time left to discard what their callers still send.
func (r *endingRequests) abortResponses() {
	for _, x := range r.registered() {
		if x.conn != nil {
			x.conn.AbortResponse(false)
		}
	}
}

// add registers a request.
func (r *endingRequests) add(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*exchange]struct{}{}
	}
	r.all[x] = struct{}{}
	x.ending = r.ended
}

func (r *endingRequests) remove(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, x)
}

// endWaits ends the wait of a request that is not being sent to an upstream.
func (x *exchange) endWaits() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.phase != phaseStart {
		return
	}
	x.ending = true
	if x.endWait != nil {
		x.endWait()
	}
	for _, a := range x.live {
		if !a.sending {
			a.cancel(errLeaving)
		}
	}
}

// endRuns cancels the attempts of a request of whose response nothing has been sent. Whether it ran is not known then.
func (x *exchange) endRuns() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.phase != phaseStart && !x.collecting {
		return
	}
	x.ending, x.cut = true, true
	x.cancelLive(errLeaving)
}

// waitContext returns the context of a wait outside of attempts. cancel must be called before the next one is made.
func (x *exchange) waitContext() (ctx context.Context, cancel context.CancelFunc) {
	ctx, end := context.WithDeadline(x.r.Context(), x.deadline)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endWait = end
	if x.ending {
		end()
	}
	return ctx, func() {
		end()
		x.mu.Lock()
		defer x.mu.Unlock()
		x.endWait = nil
	}
}

// isEnding reports whether the waits of the request have ended because the process is about to end.
func (x *exchange) isEnding() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.ending
}

// refuseEnding returns the refusal of a request whose wait has ended because the process is about to end.
func (x *exchange) refuseEnding() *Refusal {
	if x.maybeRan.Load() { // a 503 would tell callers that know only the status that it did not run
		return refuseUpstream()
	}
	return refuseLeaving()
}

// startSending records that the attempt sends the request from now on, or reports false if its waits have ended.
func (a *attempt) startSending() bool {
	a.x.mu.Lock()
	defer a.x.mu.Unlock()
	if errors.Is(context.Cause(a.ctx), errLeaving) {
		return false
	}
	a.sending = true
	return true
}
