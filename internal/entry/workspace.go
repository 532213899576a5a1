package entry

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/turmericsail/turmericsail/pkg/table"
	"github.com/turmericsail/turmericsail/pkg/workspace"
)

var errKeyRevoked = errors.New("the API key was removed while the request waited")

// authenticate determines the workspace of the request, if the tables have workspaces. The workspace sets the class and
// narrows the home regions of the exchange's copy of the route.
func (x *exchange) authenticate(t *table.Tables) *Refusal {
	if !t.HasWorkspaces() {
		return nil
	}
	x.keyed = true
	if names := x.r.Header[HeaderRelayedWorkspace]; x.relayed && len(names) > 0 {
		var ok bool
		if x.keyWorkspace, ok = relayedWorkspace(t, &x.route, names[0]); !ok {
			return refuseOtherConfiguration()
		}
	} else {
		var reason workspace.Reason
		x.keyWorkspace, x.keyHash, reason = workspace.Authenticate(t, x.route.Public, x.r.Header["Authorization"])
		if reason != workspace.None {
			return x.refuseKey(reason)
		}
	}
	if x.keyWorkspace == nil {
		return nil
	}
	x.workspace = x.keyWorkspace.Name
	if !workspace.Apply(x.keyWorkspace, &x.route) {
		return refuseNoHome(x.route.Name, x.workspace)
	}
	return nil
}

// relayedWorkspace returns the workspace that the relaying entry names; an empty name means a request without a key.
func relayedWorkspace(t *table.Tables, r *table.Route, name string) (*table.Workspace, bool) {
	if name == "" {
		return nil, r.Public
	}
	w, ok := t.Workspaces[name]
	return &w, ok
}

func (x *exchange) workspaceRate() float64 {
	if x.keyWorkspace == nil {
		return 0
	}
	return x.keyWorkspace.RatePerSecond
}

// keyRevoked reports whether the key of the request was removed since it was admitted. A request may wait for an
// upstream for as long as its deadline allows, and must not be sent then.
func (x *exchange) keyRevoked() bool {
	if !x.keyed {
		return false
	}
	t := x.e.snapshots.Snapshot().Tables
	return t != nil && !workspace.Admits(t, x.keyWorkspace, x.keyHash)
}

// setWorkspace replaces the key in the header of a request to an upstream by the name of the workspace.
func (x *exchange) setWorkspace(h http.Header) {
	if x.relayed || x.keyed { // a caller may have sent it as well
		delete(h, HeaderRelayedWorkspace)
	}
	if !x.keyed {
		return
	}
	delete(h, "Authorization")
	name := x.e.proto.Workspace
	if name == "" {
		return
	}
	delete(h, name)
	if x.keyWorkspace != nil {
		h[name] = x.headerValue(x.workspace)
	}
}

// refuseKey returns the refusal of a request for its key.
func (x *exchange) refuseKey(reason workspace.Reason) *Refusal {
	x.e.metrics.keyRefusals(string(reason)).Inc()
	f := &Refusal{
		Status: http.StatusUnauthorized, Kind: "unknown-key", Message: "the request has no valid API key",
		Remedy: `send one header "Authorization: Bearer KEY" with a key that is in force`, Challenge: `Bearer realm="api"`,
	}
	if reason != workspace.Missing { // RFC 6750, section 3.1: no error code for a request without credentials
		f.Challenge += `, error="invalid_token"`
	}
	revision := uint64(0)
	if t := x.e.snapshots.Snapshot().Tables; t != nil {
		revision = t.Revision
	}
	f.Cause = fmt.Errorf("%s (configuration %d)", reason, revision)
	return f
}

func refuseNoHome(route, workspace string) *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Kind: "no-home", Message: "no region may serve the request",
		Remedy: "have the operator give route and workspace a common region", RetryAfter: defaultRetryAfter,
		Cause: fmt.Errorf("the home regions of route %q and workspace %q have none in common", route, workspace),
	}
}

func refuseOtherConfiguration() *Refusal {
	return &Refusal{
		Status: http.StatusServiceUnavailable, Kind: "configurations-differ", Message: "two entries have different configurations",
		Remedy: "try again", RetryAfter: defaultRetryAfter,
	}
}
