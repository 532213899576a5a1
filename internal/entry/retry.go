package entry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericsail/turmericsail/pkg/pause"
	"github.com/turmericsail/turmericsail/pkg/retry"
	"github.com/turmericsail/turmericsail/pkg/workspace"
)

// firstResponse makes attempts until an upstream responds or no further attempt is allowed.
func (x *exchange) firstResponse() (*attempt, *Refusal) {
	header := x.header
	var last *attempt
	for n := 1; ; n++ {
		a := x.race(header)
		a.buffer()
		switch {
		case a.fail == failNone:
			return a, nil
		case (a.fail == failPlacement || a.fail == failLeaving && !a.sent) && last != nil:
			return x.resolveFailure(last) // the earlier failure is more informative than the lack of another upstream
		case !x.mayRetry(a, n):
			return x.resolveFailure(a)
		}
		a.discardFailure()
		// The failed attempt may have crashed a second upstream: a retry must not crash a third one.
		if refusal := x.readmit(); refusal != nil {
			return nil, refusal
		}
		last, header = a, maps.Clone(x.header)
	}
}

// passQuarantine waits at most until the deadline for quarantine to admit the request.
// releaseQuarantine ends the admission.
func (x *exchange) passQuarantine() *Refusal {
	ctx, cancel := x.waitContext()
	defer cancel()
	admission, ok := x.e.ports.Quarantine.Admit(ctx, &x.route, x.fingerprint)
	if ok {
		x.releaseQuarantine, x.avoid, x.suspect = admission.Done, admission.Avoid, admission.Suspect
		return nil
	}
	x.releaseQuarantine = func() {}
	if x.pastDeadline() {
		return refuseDeadline()
	}
	if x.isEnding() {
		return x.refuseEnding()
	}
	return refuseQuarantined(admission.RetryAfter, x.maybeRan.Load() && x.e.proto.Outcome == "")
}

// readmit releases the admission by quarantine and requests a new one before a retry.
func (x *exchange) readmit() *Refusal {
	x.releaseQuarantine()
	return x.passQuarantine()
}

// discardFailure ends an attempt whose error response is not sent to the caller.
func (a *attempt) discardFailure() {
	switch a.fail {
	case failShed:
		x := a.x
		x.mu.Lock()
		x.report.notRun++
		x.mu.Unlock()
		a.discardResponse(EndNotRun)
	case failBusy:
		a.x.maybeRan.Store(true)
		a.discardResponse(EndAnswered)
	}
}

// mayRetry reports whether another attempt is safe and within the budget. If so, it first takes the body from the failed
// attempt, which would read on otherwise, and waits for the backoff.
func (x *exchange) mayRetry(a *attempt, n int) bool {
	switch a.fail {
	case failUnreached, failShed:
	case failBusy, failLost:
		if !x.route.IsIdempotent(x.r.Method) || a.fail == failLost && x.suspect {
			return false
		}
	default:
		return false
	}
	if !x.body.replayable() || x.ticketExpired() || x.pastDeadline() {
		return false
	}
	wait, ok := x.e.ports.Retries.Retry(RetryRequest{
		Pool: &x.pool, Route: &x.route, Attempt: n + 1, Depth: x.depth, CallerBudget: retry.CallerBudget(x.r.Header), Runs: x.runs(),
	})
	if !ok || time.Now().Add(wait).After(x.deadline) || !x.body.rewind() {
		return false
	}
	x.e.metrics.retries(x.pool.Name).Inc()
	ctx, cancel := x.waitContext()
	defer cancel()
	return pause.For(ctx, wait)
}

// runs returns the number of attempts that may have run.
func (x *exchange) runs() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.report.attempts - x.report.notRun
}

// resolveFailure returns the refusal for the last failure, or the attempt if the upstream's own error
// response is sent to the caller.
func (x *exchange) resolveFailure(a *attempt) (*attempt, *Refusal) {
	switch a.fail {
	case failPlacement:
		if errors.Is(a.err, errKeyRevoked) {
			return nil, x.refuseKey(workspace.Revoked)
		}
		return nil, refusePlacement(x.pastDeadline(), a.err)
	case failUnreached:
		if x.ticketExpired() {
			return nil, refuseClaim("claim-expired", "sending could not start while the claim was valid", "try again", http.StatusServiceUnavailable)
		}
		return nil, refuseUnreachable()
	case failShed:
		after, _ := strconv.Atoi(a.resp.Header.Get("Retry-After"))
		a.discardFailure()
		return nil, refuseShed(max(time.Duration(min(max(after, 0), maxRetryAfter))*time.Second, x.retryAfterShed()))
	case failBusy:
		if !a.ended {
			return a, nil
		}
		return nil, refuseShed(x.retryAfterShed())
	case failDeadline:
		return nil, refuseDeadline()
	case failLeaving:
		return nil, x.refuseEnding()
	case failBody:
		return nil, x.bodyRefusal(x.body.failed())
	}
	return nil, refuseUpstream()
}

// retryAfterShed returns the delay after which the caller may return when upstreams refused its request and stated none.
func (x *exchange) retryAfterShed() time.Duration {
	if advisor, ok := x.e.ports.Placement.(ShedAdvisor); ok {
		if after, ok := advisor.RetryAfterShed(x.acquireRequest(&x.pool, nil, false), x.deadline); ok {
			return after
		}
	}
	return defaultRetryAfter
}

// maxRetryAfter bounds a Retry-After that is taken from an upstream, in seconds.
const maxRetryAfter = 3600

// race makes one attempt, and a second one in parallel if the first is slow and hedging is allowed.
func (x *exchange) race(header http.Header) *attempt {
	after, hedged := x.hedgeDelay()
	if !hedged {
		return x.newAttempt(header, x.deadline).run(false)
	}
	x.forbid1xx()
	results := make(chan *attempt, 2)
	start := func(h http.Header, hedge bool, avoid []string, notSent func()) *attempt {
		a := x.newAttempt(h, x.deadline)
		a.hedged, a.hedgeAvoid = true, avoid
		go func() {
			defer func() { results <- a }()
			defer a.recoverRun()
			a.run(hedge)
			if a.fail != failNone && !a.sent {
				notSent()
			}
		}()
		return a
	}
	second := maps.Clone(header)
	first := start(header, false, nil, func() {})
	timer := time.NewTimer(after)
	defer timer.Stop()
	var plan HedgePlan
	var releaseRate func()
	for {
		select {
		case a := <-results:
			return a
		case <-timer.C:
		}
		if plan, releaseRate = x.planHedge(first); plan.Send || plan.Wait <= 0 {
			break
		}
		timer.Reset(plan.Wait)
	}
	if !plan.Send {
		return <-results
	}
	x.e.metrics.hedges(x.pool.Name).Inc()
	return x.awaitWinner(results, first, start(second, true, plan.Avoid, releaseRate))
}

// planHedge decides on the second copy after the delay. A planned copy takes a token of the workspace's rate, because no
// more copies than that may be sent. releaseRate returns the token if the copy is not sent.
func (x *exchange) planHedge(first *attempt) (plan HedgePlan, releaseRate func()) {
	releaseRate = func() {}
	planner, ok := x.e.ports.Hedger.(HedgePlanner)
	if !ok {
		return HedgePlan{Send: x.e.ports.Hedger.Take(&x.pool, &x.route)}, releaseRate
	}
	pool := x.currentPool()
	r := HedgeRequest{Pool: &pool, Route: &x.route, Deadline: x.deadline, Suspect: x.becameSuspect()}
	x.mu.Lock()
	if r.Placed = first.placedAt; !r.Placed.IsZero() {
		r.Upstream = first.upstream
	}
	x.mu.Unlock()
	if rates, ok := x.e.ports.Rates.(InstantRates); ok && x.workspaceRate() > 0 {
		r.TakeRate = func() bool {
			release, taken := rates.AdmitNow(x.keyWorkspace)
			if taken {
				releaseRate = release
			}
			return taken
		}
	}
	if plan = planner.Plan(r); !plan.Send {
		releaseRate()
	}
	return plan, releaseRate
}

// becameSuspect reports whether an upstream was lost under the request since it was admitted, for instance one that another
// caller's copy of it was sent to. A second copy could end another upstream. It does not wait: a request that is held or
// has to wait is a suspect.
func (x *exchange) becameSuspect() bool {
	ctx, cancel := context.WithCancel(x.r.Context())
	cancel()
	admission, ok := x.e.ports.Quarantine.Admit(ctx, &x.route, x.fingerprint)
	if ok {
		admission.Done()
	}
	return !ok || admission.Suspect
}

// awaitWinner returns the first successful attempt and cancels the other one.
func (x *exchange) awaitWinner(results chan *attempt, first, second *attempt) *attempt {
	winner := <-results
	loser := second
	if winner == second {
		loser = first
	}
	if winner.fail != failNone {
		other := <-results
		if other.fail == failNone || winner.fail == failPlacement || winner.fail == failLeaving {
			winner, other = other, winner
		}
		x.discardLoser(other)
		return winner
	}
	if winner == second {
		x.e.metrics.hedgeWins(x.pool.Name).Inc()
	}
	loser.cancel(errSuperseded)
	go func() { x.discardLoser(<-results) }()
	return winner
}

// discardLoser ends an attempt whose response is not needed.
func (x *exchange) discardLoser(a *attempt) {
	if a.resp != nil {
		a.discardResponse(EndCancelled)
	}
}

// hedgeDelay returns the delay before a second copy may be sent, or false if the request must not be
// hedged.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if !x.mayHedge() {
		return 0, false
	}
	return x.e.ports.Hedger.After(&x.pool, &x.route)
}

// mayHedge reports whether a second copy of the request is safe. Only idempotent requests without a body and without an
// identity are hedged, and no suspects.
func (x *exchange) mayHedge() bool {
	if x.runs()+1 >= x.route.Retry.MaxAttempts { // the first copy uses the last allowed attempt
		return false
	}
	return x.body == nil && x.identity == "" && !x.suspect && x.route.IsIdempotent(x.r.Method)
}
