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
	// called when the request turns out not to be sent; otherwise it may come back after retryAfter.
	Admit(ctx context.Context, w *table.Workspace) (release func(), retryAfter time.Duration, ok bool)
}

// admitRate asks for the permission to send the request, if its workspace has a rate. Further attempts need no other
// permission, because a rate counts the requests of callers.
func (x *exchange) admitRate() *Refusal {
	if x.e.ports.Rates == nil || !(x.workspaceRate() > 0) {
		return nil
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	release, after, ok := x.e.ports.Rates.Admit(ctx, x.keyWorkspace)
	if !ok {
		return refuseOverQuota(after)
	}
	x.releaseRate = release
	return nil
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
