// Package table defines the two tables that operators edit, routes and pools, with
// strict decoding, validation and request matching. A route refers to its pool by
// name. Each row is stored under its own key, so that edits of different rows never
// conflict.
package table

import (
	"slices"
	"sort"
)

// Class is the priority class of a request. When capacity is short, requests of
// lower classes are refused first.
type Class string

// Classes in descending order of priority.
const (
	ClassCritical Class = "critical"
	ClassNormal   Class = "normal"
	ClassBulk     Class = "bulk"
)

// Idempotency determines whether requests of a route may run more than once.
type Idempotency string

const (
	// IdempotentByMethod follows RFC 9110: GET, HEAD, OPTIONS, PUT, DELETE and TRACE are idempotent.
	IdempotentByMethod Idempotency = "by-method"
	// IdempotentAlways marks every request of the route as idempotent.
	IdempotentAlways Idempotency = "idempotent"
	// IdempotentNever marks every request of the route as non-idempotent.
	IdempotentNever Idempotency = "non-idempotent"
)

// Match selects requests. Empty fields match everything.
type Match struct {
	// Hosts lists host names, compared without case and port. In "*.example.org" the asterisk matches one label.
	Hosts []string `json:"hosts,omitempty"`
	// PathPrefix matches whole path segments; "/" matches every path. A prefix that ends in a slash does not match the path without it.
	// It is compared with the path as callers send it, so characters that are percent-encoded there are written so.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Methods lists HTTP methods.
	Methods []string `json:"methods,omitempty"`
	// Headers maps header names to the exact values that they must have.
	Headers map[string]string `json:"headers,omitempty"`
}

// Retry limits the attempts of a request.
type Retry struct {
	// MaxAttempts is the maximum number of attempts, including the first; 1 turns retries off. Default 2.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// BudgetPercent limits retries to this percentage of the pool's requests. Default 10.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
}

// Hedge configures hedging: sending a second copy of a slow idempotent request.
type Hedge struct {
	// After is the delay before the second copy is sent; zero turns hedging off.
	After Duration `json:"after,omitempty"`
	// BudgetPercent limits hedges to this percentage of the pool's requests. Default 5.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
}

// Share is the part of a split route that one pool serves.
type Share struct {
	// Pool is the name of the pool that serves this share.
	Pool string `json:"pool"`
	// Weight is relative to the sum of all weights; a pool with weight zero receives no requests.
	Weight float64 `json:"weight"`
}

// Route maps requests to a pool.
type Route struct {
	// Name is the row's key.
	Name string `json:"name"`
	// Match selects the requests. A route without it matches every request that no other route matches.
	Match Match `json:"match,omitzero"`
	// Pool is the name of the pool that serves the requests. Required unless split is set.
	Pool string `json:"pool,omitempty"`
	// Split distributes the requests over several pools by weight. It replaces pool.
	Split []Share `json:"split,omitempty"`
	// Workspace labels the requests in metrics and queues.
	Workspace string `json:"tenant,omitempty"`
	// WorkspaceHeader names a request header whose value overrides Workspace.
	WorkspaceHeader string `json:"tenant_header,omitempty"`
	// Public admits requests without an API key where there are workspaces.
	Public bool `json:"public,omitempty"`
	// Class is the priority class. Default normal.
	Class Class `json:"class,omitempty"`
	// Idempotency determines whether requests may run more than once. Default by-method.
	Idempotency Idempotency `json:"idempotency,omitempty"`
	// IdentityHeader names the request header that identifies a non-idempotent request and its repeats.
	IdentityHeader string `json:"identity_header,omitempty"`
	// Deadline is the maximum time to the start of the response. Default 30s.
	Deadline Duration `json:"deadline,omitempty"`
	// AnswerLimit is the maximum time to the end of the response. Default: no maximum, but the response must make progress.
	AnswerLimit Duration `json:"answer_limit,omitempty"`
	// Target is the response time up to which a response has its full value for the caller. Placement
	// waits for a better upstream only as long as the target allows. Default: the deadline.
	Target Duration `json:"target,omitempty"`
	// HomeRegions lists the only regions in which a request may be served, transmitted and stored. Empty means all.
	HomeRegions []string `json:"home_regions,omitempty"`
	// RecordRegion is the region that stores the at-most-once records. Default: chosen by hash among the permitted regions.
	RecordRegion string `json:"record_region,omitempty"`
	// RecordWindow is how long an at-most-once record is kept after its request ended. Default 10m.
	RecordWindow Duration `json:"record_window,omitempty"`
	// Retry limits the attempts of a request.
	Retry Retry `json:"retry,omitzero"`
	// Hedge configures hedging.
	Hedge Hedge `json:"hedge,omitzero"`
	// MaxBody is the maximum size of the request body. Default: the instance's limit.
	MaxBody Size `json:"max_body,omitempty"`
}

// Upstream is one server of a pool.
type Upstream struct {
	// ID is unique within the pool.
	ID string `json:"id"`
	// Address is host:port.
	Address string `json:"address"`
	// Region is the region of the upstream.
	Region string `json:"region"`
	// FailureDomain is the failure domain of the upstream.
	FailureDomain string `json:"failure_domain"`
}

// ColdStart limits the load on an upstream that has just started.
type ColdStart struct {
	// Allowance is the initial limit of concurrent requests from all instances to a cold upstream. Default 1.
	Allowance int `json:"allowance,omitempty"`
	// Answers is the number of successful responses after which the allowance doubles. Default 8.
	Answers int `json:"answers,omitempty"`
}

// Measuring configures the active probes of a pool.
type Measuring struct {
	// BudgetPercent is the percentage of an upstream's slot time that the probes of all instances may use. Default 1.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
	// ProbeCost is the slot time that one probe is assumed to use. Default 6ms.
	ProbeCost Duration `json:"probe_cost,omitempty"`
	// ProbePath is the request path of a probe; empty turns probes off.
	ProbePath string `json:"probe_path,omitempty"`
}

// Pool is a set of upstreams of one service.
type Pool struct {
	// Name is the row's key.
	Name string `json:"name"`
	// Upstreams lists the servers.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Discover names a service in the platform's instance list whose entries are added to Upstreams.
	Discover string `json:"discover,omitempty"`
	// Slots is the number of concurrent requests that each upstream can run.
	Slots int `json:"slots"`
	// Connections is the number of connections that each upstream accepts from all instances together.
	Connections int `json:"connections"`
	// ColdStart limits the load on upstreams that have just started.
	ColdStart ColdStart `json:"cold_start,omitzero"`
	// Measuring configures active probes.
	Measuring Measuring `json:"measuring,omitzero"`
	// FailureDomainsOut lists the failure domains that operators have taken out of service.
	FailureDomainsOut []string `json:"failure_domains_out,omitempty"`
	// UpstreamsOut lists the IDs of upstreams that are out of service because they are leaving.
	UpstreamsOut []string `json:"upstreams_out,omitempty"`
}

// InService reports whether neither the upstream nor its failure domain is out of service.
func (p *Pool) InService(u Upstream) bool {
	return !slices.Contains(p.FailureDomainsOut, u.FailureDomain) && !slices.Contains(p.UpstreamsOut, u.ID)
}

// Eligible reports whether the upstream may serve a request of the route: it is in
// service, the route permits its region, and exclude does not list its ID.
func (p *Pool) Eligible(u Upstream, r *Route, exclude []string) bool {
	return p.InService(u) && r.Permits(u.Region) && !slices.Contains(exclude, u.ID)
}

// AnyEligible reports whether any upstream of the pool may serve a request of the route.
func (p *Pool) AnyEligible(r *Route, exclude []string) bool {
	return slices.ContainsFunc(p.Upstreams, func(u Upstream) bool { return p.Eligible(u, r, exclude) })
}

// Tables is a consistent snapshot of both tables. It is immutable once published.
type Tables struct {
	// Revision increases with every accepted edit.
	Revision uint64 `json:"revision"`
	// Routes holds the routes by name.
	Routes map[string]Route `json:"routes"`
	// Pools holds the pools by name.
	Pools map[string]Pool `json:"pools"`
	// Workspaces holds the workspaces by name. While there are any, requests need an API key; see WithWorkspaces.
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`

	sortedRoutes    []Route
	workspacesByKey map[KeyHash]*Workspace
}

// NewTables returns tables with defaults set and routes sorted for matching.
func NewTables(revision uint64, routes []Route, pools []Pool) *Tables {
	t := &Tables{Revision: revision, Routes: make(map[string]Route, len(routes)), Pools: make(map[string]Pool, len(pools))}
	for _, r := range routes {
		t.Routes[r.Name] = r.withDefaults()
	}
	for _, p := range pools {
		t.Pools[p.Name] = p.withDefaults()
	}
	for _, r := range t.Routes {
		t.sortedRoutes = append(t.sortedRoutes, r)
	}
	sort.Slice(t.sortedRoutes, func(i, j int) bool { return isMoreSpecific(&t.sortedRoutes[i], &t.sortedRoutes[j]) })
	return t
}

// WithPools returns a copy of t with the given pools. The routes and their
// matching order are shared with t.
func (t *Tables) WithPools(pools map[string]Pool) *Tables {
	next := *t
	next.Pools = pools
	return &next
}

// Bounds and defaults of optional fields. Durations are in nanoseconds.
const (
	// MaxRecordWindow is the maximum record window, 24 h, because records are kept in memory.
	MaxRecordWindow = Duration(24 * 60 * 60 * 1e9)

	defaultDeadline      = Duration(30e9)
	defaultRecordWindow  = Duration(600e9)
	defaultMaxAttempts   = 2
	defaultRetryPercent  = 10
	defaultHedgePercent  = 5
	defaultAllowance     = 1
	defaultColdAnswers   = 8
	defaultBudgetPercent = 1
	defaultProbeCost     = Duration(6e6)
)

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (r Route) withDefaults() Route {
	setDefault(&r.Class, ClassNormal)
	setDefault(&r.Idempotency, IdempotentByMethod)
	setDefault(&r.Deadline, defaultDeadline)
	setDefault(&r.Target, r.Deadline)
	setDefault(&r.RecordWindow, defaultRecordWindow)
	setDefault(&r.Retry.MaxAttempts, defaultMaxAttempts)
	setDefault(&r.Retry.BudgetPercent, defaultRetryPercent)
	setDefault(&r.Hedge.BudgetPercent, defaultHedgePercent)
	return r
}

func (p Pool) withDefaults() Pool {
	setDefault(&p.ColdStart.Allowance, defaultAllowance)
	setDefault(&p.ColdStart.Answers, defaultColdAnswers)
	setDefault(&p.Measuring.BudgetPercent, defaultBudgetPercent)
	setDefault(&p.Measuring.ProbeCost, defaultProbeCost)
	return p
}
