package entry

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errLeaving ends the waits of requests that no upstream has when the process is about to end.
var errLeaving = errors.New("the instance ends")

// waitingRequests ends the waits of running requests shortly before the process ends, so that their callers get a refusal.
type waitingRequests struct {
	mu    sync.Mutex
	all   map[*exchange]struct{}
	ended bool
	timer *time.Timer
}

// endAt ends the waits at the given time. A later call replaces an earlier one.
func (w *waitingRequests) endAt(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(time.Until(at), w.end)
}

func (w *waitingRequests) end() {
	w.mu.Lock()
	w.ended = true
	all := make([]*exchange, 0, len(w.all))
	for x := range w.all {
		all = append(all, x)
	}
	w.mu.Unlock()
	for _, x := range all {
		x.endWaits()
	}
}

// add registers a request.
func (w *waitingRequests) add(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.all == nil {
		w.all = map[*exchange]struct{}{}
	}
	w.all[x] = struct{}{}
	x.ending = w.ended
}

func (w *waitingRequests) remove(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.all, x)
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
