package table

import (
	"cmp"
	"fmt"
	"slices"
)

// KeyHash is the keyed hash of an API key. The keys themselves are not kept, so that no dump, log line or status
// can contain one.
type KeyHash [32]byte

// Workspace is one customer of the deployment, which its callers name by an API key.
type Workspace struct {
	// Name is the row's key.
	Name string `json:"name"`
	// Keys holds the hashes of the API keys. Each process has its own hash key, so they mean nothing elsewhere.
	Keys []KeyHash `json:"-"`
	// Class takes precedence over the class of the route, unless it is empty.
	Class Class `json:"class,omitempty"`
	// RatePerSecond limits the requests per second over all instances; zero is no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Burst is the number of requests above RatePerSecond that may come at once.
	Burst float64 `json:"burst,omitempty"`
	// HomeRegions lists the only regions in which the requests may be served, transmitted and stored. Empty means all.
	HomeRegions []string `json:"home_regions,omitempty"`
}

// WithWorkspaces returns a copy of t with the given workspaces. Routes and pools are shared with t.
func (t *Tables) WithWorkspaces(workspaces []Workspace) *Tables {
	next := *t
	next.Workspaces, next.workspacesByKey = nil, nil
	if len(workspaces) == 0 {
		return &next
	}
	next.Workspaces = make(map[string]Workspace, len(workspaces))
	next.workspacesByKey = make(map[KeyHash]*Workspace, len(workspaces))
	for _, w := range workspaces {
		next.Workspaces[w.Name] = w
		for _, key := range w.Keys {
			next.workspacesByKey[key] = &w
		}
	}
	return &next
}

// HasWorkspaces reports whether requests need an API key.
func (t *Tables) HasWorkspaces() bool { return len(t.Workspaces) > 0 }

// WorkspaceOf returns the workspace that has the key. The workspace must not be modified.
func (t *Tables) WorkspaceOf(key KeyHash) (*Workspace, bool) {
	w, ok := t.workspacesByKey[key]
	return w, ok
}

// CommonRegions returns the regions that both lists permit; an empty list permits every region. It returns false if
// they have none in common, since the empty list that would then be left permits every region.
func CommonRegions(a, b []string) ([]string, bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	var both []string
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

// CheckHomes returns a problem for each route and workspace whose home regions have none in common. Requests of such
// a pair are refused.
func (t *Tables) CheckHomes() Problems {
	var p Problems
	for _, w := range sortedWorkspaces(t.Workspaces) {
		for _, r := range t.sortedRoutes {
			if _, ok := CommonRegions(r.HomeRegions, w.HomeRegions); !ok {
				p.Add(fmt.Sprintf("$.workspaces[%q].home_regions", w.Name),
					fmt.Sprintf("has no region in common with the home regions of route %q", r.Name),
					"name a common region, or expect that requests of this workspace on this route are refused")
			}
		}
	}
	return p
}

func sortedWorkspaces(workspaces map[string]Workspace) []Workspace {
	sorted := make([]Workspace, 0, len(workspaces))
	for _, w := range workspaces {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}
