package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Rates keeps the request rates of workspaces.
type Rates interface {
	// Admit reports whether a request of the workspace may be sent. It may wait shortly. If ok is true, release is
	// called when the request turns out not to be sent; otherwise it may come back after retryAfter. late is set for a
	// request that will hardly meet its target.
	Admit(ctx context.Context, w *table.Workspace, late bool) (release func(), retryAfter time.Duration, ok bool)
}

// InstantRates is a Rates that also decides without waiting.
type InstantRates interface {
	Rates
	// AdmitNow takes a token of the workspace, if this instance has one, and reports whether it did. release is called
	// when the token turns out not to be needed.
	AdmitNow(w *table.Workspace) (release func(), ok bool)
}

// admitRate asks for the permission to send the request, if its workspace has a rate. Retries need no other
// permission, because a rate counts the requests of callers. Second copies need one each, see planHedge.
func (x *exchange) admitRate() *Refusal {
	if x.e.ports.Rates == nil || !(x.workspaceRate() > 0) {
		return nil
	}
	ctx, cancel := x.waitContext()
	defer cancel()
	release, after, ok := x.e.ports.Rates.Admit(ctx, x.keyWorkspace, x.isLate())
	if !ok && x.isEnding() {
		return refuseLeaving()
	}
	if !ok {
		return refuseOverQuota(after)
	}
	x.releaseRate = release
	return nil
}

// lateShare is the share of the target after which a request will hardly meet it: one run usually takes half of it.
const lateShare = 0.5

// isLate reports whether the caller has been trying for so long that the request will hardly meet its target.
func (x *exchange) isLate() bool {
	return float64(x.callerElapsed+time.Since(x.start)) > lateShare*float64(x.route.Target)
}

// returnRate returns the permission of a request that no upstream ran.
func (x *exchange) returnRate() {
	if x.releaseRate != nil && x.runs() == 0 && !x.maybeRan.Load() {
		x.releaseRate()
	}
}

func refuseOverQuota(after time.Duration) *Refusal {
	return &Refusal{
		Status: http.StatusTooManyRequests, Kind: "over-quota", Message: "the workspace has used its request rate",
		Remedy: "try again after the stated time, or ask the operator for a higher rate", RetryAfter: after,
	}
}
