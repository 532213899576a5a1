package entry

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
)

var errPanic = errors.New("the request met a defect of this instance")

// A panic ends its own request and no other. Requests are served by goroutines of net/http, which recovers; copies that are
// hedged and the forwarding of interim responses have goroutines of their own, in which a panic would end the process.

// recoverServe ends a request that panicked: its attempts are cancelled and its caller's connection is closed. It is deferred.
func (x *exchange) recoverServe() {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	x.logPanic(p)
	x.cancelAttempts(errEnded)
	for _, a := range x.ownAttempts() {
		a.abandon()
	}
	x.close()
	panic(http.ErrAbortHandler)
}

// ownAttempts returns the live attempts that no other goroutine runs.
func (x *exchange) ownAttempts() (own []*attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range x.live {
		if !a.hedged {
			own = append(own, a)
		}
	}
	return own
}

// abandon releases what an attempt holds, without the steps of its end that may have panicked.
func (a *attempt) abandon() {
	if a.ended {
		return
	}
	a.ended = true
	a.unregister()
	a.cancel(errEnded)
	if a.conn != nil {
		a.conn.pool.discard(a.conn)
	}
	if a.permit != nil {
		a.permit.Done(Result{Ending: EndCancelled})
	}
}

// recoverRun turns a panic of an attempt with a goroutine of its own into a failure. It is deferred.
func (a *attempt) recoverRun() {
	if p := recover(); p != nil {
		a.x.logPanic(p)
		a.fail, a.err = failLost, errPanic
		a.x.maybeRan.Store(true)
		a.abandon()
	}
}

// recoverForwarding turns a panic while a 1xx response is forwarded into the failure of its attempt. It is deferred.
func (a *attempt) recoverForwarding(err *error) {
	if p := recover(); p != nil {
		a.x.logPanic(p)
		*err = errPanic
	}
}

func (x *exchange) logPanic(p any) {
	x.e.metrics.panics(x.route.Name).Inc()
	x.e.log.Error(errPanic, "request panicked", "request", x.id, "route", x.route.Name, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
}
