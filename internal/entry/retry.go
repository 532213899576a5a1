package entry

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/retry"
)

// firstAnswer sends the request until an upstream answers or no further attempt is allowed.
func (x *exchange) firstAnswer() (*attempt, *Refusal) {
	header := x.header
	var last *attempt
	for n := 1; ; n++ {
		a := x.race(header)
		a.buffer()
		switch {
		case a.fail == failNone:
			return a, nil
		case a.fail == failPlacement && last != nil:
			return x.giveUp(last) // the earlier failure says more than the lack of another upstream
		case !x.mayRetry(a, n):
			return x.giveUp(a)
		}
		a.discardFailure()
		// The failed attempt may have been the loss of a second upstream: a retry must not take down a third.
		if refusal := x.readmit(); refusal != nil {
			return nil, refusal
		}
		last, header = a, maps.Clone(x.header)
	}
}

// passQuarantine waits at most until the deadline for leave to run the request;
// admitted gives the leave back.
func (x *exchange) passQuarantine() *Refusal {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	leave, ok := x.e.ports.Quarantine.Admit(ctx, &x.route, x.print)
	if ok {
		x.admitted, x.avoid = leave.Done, leave.Avoid
		return nil
	}
	x.admitted = func() {}
	if x.late() {
		return refuseLate()
	}
	return refuseQuarantined()
}

// readmit asks quarantine again before a retry.
func (x *exchange) readmit() *Refusal {
	x.admitted()
	return x.passQuarantine()
}

// discardFailure ends an attempt whose 503 is not passed on.
func (a *attempt) discardFailure() {
	switch a.fail {
	case failShed:
		x := a.x
		x.mu.Lock()
		x.report.notRun++
		x.mu.Unlock()
		a.discardAnswer(EndNotRun)
	case failBusy:
		a.x.maybeRan.Store(true)
		a.discardAnswer(EndAnswered)
	}
}

// mayRetry reports whether another attempt is safe and within the budget, and waits for it.
func (x *exchange) mayRetry(a *attempt, n int) bool {
	switch a.fail {
	case failUnreached, failShed:
	case failBusy, failLost:
		if !x.route.IsIdempotent(x.r.Method) {
			return false
		}
	default:
		return false
	}
	if !x.body.replayable() || x.ticketExpired() || x.late() {
		return false
	}
	wait, ok := x.e.ports.Retries.Retry(RetryRequest{
		Pool: &x.pool, Route: &x.route, Attempt: n + 1, Depth: x.depth, CallerBudget: retry.CallerBudget(x.r.Header), Runs: x.runs(),
	})
	if !ok || time.Now().Add(wait).After(x.deadline) {
		return false
	}
	x.e.metrics.retries(x.pool.Name).Inc()
	return pause.For(x.r.Context(), wait)
}

// runs returns the number of attempts that may have run.
func (x *exchange) runs() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.report.attempts - x.report.notRun
}

// giveUp turns the last failure into a refusal, or passes on the upstream's own 503.
func (x *exchange) giveUp(a *attempt) (*attempt, *Refusal) {
	switch a.fail {
	case failPlacement:
		return nil, refusePlacement(x.late(), a.err)
	case failUnreached:
		if x.ticketExpired() {
			return nil, refuseClaim("claim-expired", "sending could not start while the claim was valid", "try again", http.StatusServiceUnavailable)
		}
		return nil, refuseUnreached()
	case failShed:
		after, _ := strconv.Atoi(a.resp.Header.Get("Retry-After"))
		a.discardFailure()
		return nil, refuseShed(time.Duration(min(max(after, 0), maxRetryAfter)) * time.Second)
	case failBusy:
		if !a.ended {
			return a, nil
		}
		return nil, refuseShed(0)
	case failLate:
		return nil, refuseLate()
	case failBody:
		return nil, x.bodyRefusal(x.body.failed())
	}
	return nil, refuseUpstream()
}

// maxRetryAfter bounds a Retry-After that is copied from an upstream, in seconds.
const maxRetryAfter = 3600

// race makes one attempt, and a second copy if the first is slow and hedging is allowed.
func (x *exchange) race(header http.Header) *attempt {
	after, hedged := x.hedgeDelay()
	if !hedged {
		return x.newAttempt(header, x.deadline).run(false)
	}
	x.forbid1xx()
	results := make(chan *attempt, 2)
	start := func(h http.Header, hedge bool) *attempt {
		a := x.newAttempt(h, x.deadline)
		go func() { results <- a.run(hedge) }()
		return a
	}
	second := maps.Clone(header)
	first := start(header, false)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case a := <-results:
		return a
	case <-timer.C:
	}
	if !x.e.ports.Hedger.Take(&x.pool, &x.route) {
		return <-results
	}
	x.e.metrics.hedges(x.pool.Name).Inc()
	return x.pick(results, first, start(second, true))
}

// pick returns the first good answer and cancels the other copy.
func (x *exchange) pick(results chan *attempt, first, second *attempt) *attempt {
	winner := <-results
	loser := second
	if winner == second {
		loser = first
	}
	if winner.fail != failNone {
		other := <-results
		if other.fail == failNone || winner.fail == failPlacement {
			winner, other = other, winner
		}
		x.abandon(other)
		return winner
	}
	if winner == second {
		x.e.metrics.hedgeWins(x.pool.Name).Inc()
	}
	loser.cancel(errSuperseded)
	go func() { x.abandon(<-results) }()
	return winner
}

// abandon ends an attempt whose answer is not wanted.
func (x *exchange) abandon(a *attempt) {
	if a.resp != nil {
		a.discardAnswer(EndCancelled)
	}
}

// hedgeDelay decides whether a second copy may be sent: only for idempotent requests without a body.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if x.runs()+1 >= x.route.Retry.MaxAttempts { // the first copy takes the last attempt
		return 0, false
	}
	if x.body != nil || x.identity != "" || !x.route.IsIdempotent(x.r.Method) {
		return 0, false
	}
	return x.e.ports.Hedger.After(&x.pool, &x.route)
}
