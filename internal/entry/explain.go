package entry

import (
	"net/http"
	"time"

	"github.com/turmericsail/turmericsail/pkg/table"
)

// Explanation is what a request would meet at the entry at the moment.
type Explanation struct {
	// Refusal is set if the request would be refused before an upstream is chosen.
	Refusal *Refusal
	Route   table.Route
	// Routed is set if a route matches.
	Routed    bool
	Workspace string
	// Relayed is set if the request would be passed to an entry inside its home regions.
	Relayed bool
	// Suspect is set if upstreams were lost under such requests without a body.
	Suspect bool
	// MayHedge is set if a second copy is safe.
	MayHedge bool
}

// Explain returns what a request without a body would meet. It runs the same code as for a request, but sends nothing and
// takes nothing from a budget.
func (e *Entry) Explain(r *http.Request) Explanation {
	x := &exchange{e: e, r: r, start: time.Now()}
	out := Explanation{Refusal: x.match()}
	out.Route, out.Routed, out.Workspace, out.Relayed = x.route, x.route.Name != "", x.workspace, x.needsRelay
	if out.Refusal != nil || x.needsRelay {
		return out
	}
	x.deadline = x.start.Add(x.route.Deadline.Std())
	if e.endsBefore(x.deadline) {
		out.Refusal = refuseLeaving()
		return out
	}
	x.fingerprint = x.computeFingerprint("")
	out.Suspect = x.becameSuspect()
	x.suspect = out.Suspect
	out.MayHedge = x.mayHedge()
	return out
}
