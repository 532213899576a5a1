// Package table defines the two tables that operators edit, routes and pools,
// with strict decoding, validation and matching. A route names its pool; rows
// are stored one per key, so that edits of different rows never conflict.
package table

import (
	"slices"
	"sort"
)

// Class is a priority group of requests. When capacity is short, requests of a
// lower class are refused first.
type Class string

// Classes in falling order of priority.
const (
	ClassCritical Class = "critical"
	ClassNormal   Class = "normal"
	ClassBulk     Class = "bulk"
)

// Idempotency tells whether requests of a route may run more than once.
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
	// Hosts lists host names, compared without case and port; "*.example.org" matches one label.
	Hosts []string `json:"hosts,omitempty"`
	// PathPrefix matches whole path segments; "/" matches every path. A prefix that ends in a slash does not match the path without it.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Methods lists HTTP methods.
	Methods []string `json:"methods,omitempty"`
	// Headers lists headers and the exact values that they must have.
	Headers map[string]string `json:"headers,omitempty"`
}

// Retry bounds further attempts of a request.
type Retry struct {
	// MaxAttempts counts the first attempt; 1 turns retries off. Default 2.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// BudgetPercent bounds retries to this share of the pool's requests. Default 10.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
}

// Hedge bounds second copies of slow idempotent requests.
type Hedge struct {
	// After is the delay before the second copy is sent; zero turns hedging off.
	After Duration `json:"after,omitempty"`
	// BudgetPercent bounds hedges to this share of the pool's requests. Default 5.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
}

// Share is one part of a split route.
type Share struct {
	// Pool names the pool that serves this part.
	Pool string `json:"pool"`
	// Weight is the part's share relative to the sum of all weights; zero sends it nothing.
	Weight float64 `json:"weight"`
}

// Route maps requests to a pool.
type Route struct {
	// Name is the row's key.
	Name string `json:"name"`
	// Match selects the requests. Without it the route takes every request that no other route takes.
	Match Match `json:"match,omitzero"`
	// Pool names the pool that serves the requests. Required unless split is set.
	Pool string `json:"pool,omitempty"`
	// Split distributes the requests over several pools by weight, in place of pool.
	Split []Share `json:"split,omitempty"`
	// Workspace labels the requests in metrics and queues.
	Workspace string `json:"tenant,omitempty"`
	// WorkspaceHeader names a request header whose value overrides Workspace.
	WorkspaceHeader string `json:"tenant_header,omitempty"`
	// Class is the priority group. Default normal.
	Class Class `json:"class,omitempty"`
	// Idempotency tells whether requests may run more than once. Default by-method.
	Idempotency Idempotency `json:"idempotency,omitempty"`
	// IdentityHeader names the request header that identifies a non-idempotent request and its repeats.
	IdentityHeader string `json:"identity_header,omitempty"`
	// Deadline bounds the time to the start of the answer. Default 30s.
	Deadline Duration `json:"deadline,omitempty"`
	// AnswerLimit bounds the time to the end of the answer. Default: only its progress is bounded.
	AnswerLimit Duration `json:"answer_limit,omitempty"`
	// Target is the time within which an answer is fully useful to its caller. Placement waits for a
	// better upstream only as long as the target allows. Default: the deadline.
	Target Duration `json:"target,omitempty"`
	// HomeRegions lists the only regions in which a request may be served, sent and kept. Empty means all.
	HomeRegions []string `json:"home_regions,omitempty"`
	// RecordRegion fixes the region that keeps at-most-once records. Default by hash over the permitted regions.
	RecordRegion string `json:"record_region,omitempty"`
	// RecordWindow is how long a record is kept after its request ended. Default 10m.
	RecordWindow Duration `json:"record_window,omitempty"`
	// Retry bounds further attempts.
	Retry Retry `json:"retry,omitzero"`
	// Hedge bounds second copies.
	Hedge Hedge `json:"hedge,omitzero"`
	// MaxBody bounds the request body. Default: the instance's limit.
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

// ColdStart bounds the work of an upstream that has just started.
type ColdStart struct {
	// Allowance is the number of concurrent requests over all instances while cold. Default 1.
	Allowance int `json:"allowance,omitempty"`
	// Answers is the number of good answers after which the allowance doubles. Default 8.
	Answers int `json:"answers,omitempty"`
}

// Measuring bounds the active probes of a pool.
type Measuring struct {
	// BudgetPercent is the share of an upstream's slot time that probes may use over all instances. Default 1.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
	// ProbeCost is the slot time that one probe takes. Default 6ms.
	ProbeCost Duration `json:"probe_cost,omitempty"`
	// ProbePath is the path that a probe asks for; empty turns probes off.
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
	// Connections is the number of connections that each upstream accepts over all instances.
	Connections int `json:"connections"`
	// ColdStart bounds upstreams that have just started.
	ColdStart ColdStart `json:"cold_start,omitzero"`
	// Measuring bounds active probes.
	Measuring Measuring `json:"measuring,omitzero"`
	// FailureDomainsOut lists the failure domains that operators have taken out.
	FailureDomainsOut []string `json:"failure_domains_out,omitempty"`
	// UpstreamsOut lists the IDs of upstreams that are leaving.
	UpstreamsOut []string `json:"upstreams_out,omitempty"`
}

// InService reports whether operators let the upstream have new work.
func (p *Pool) InService(u Upstream) bool {
	return !slices.Contains(p.FailureDomainsOut, u.FailureDomain) && !slices.Contains(p.UpstreamsOut, u.ID)
}

// Eligible reports whether the upstream may get a request of the route: it is in
// service, the route permits its region, and it is not excluded.
func (p *Pool) Eligible(u Upstream, r *Route, exclude []string) bool {
	return p.InService(u) && r.Permits(u.Region) && !slices.Contains(exclude, u.ID)
}

// AnyEligible reports whether any upstream may get a request of the route.
func (p *Pool) AnyEligible(r *Route, exclude []string) bool {
	return slices.ContainsFunc(p.Upstreams, func(u Upstream) bool { return p.Eligible(u, r, exclude) })
}

// Tables is a consistent set of both tables. It is immutable once published.
type Tables struct {
	// Revision rises with every accepted edit.
	Revision uint64 `json:"revision"`
	// Routes by name.
	Routes map[string]Route `json:"routes"`
	// Pools by name.
	Pools map[string]Pool `json:"pools"`

	matcher []Route
}

// NewTables returns tables with their matching order prepared and defaults set.
func NewTables(revision uint64, routes []Route, pools []Pool) *Tables {
	t := &Tables{Revision: revision, Routes: make(map[string]Route, len(routes)), Pools: make(map[string]Pool, len(pools))}
	for _, r := range routes {
		t.Routes[r.Name] = r.withDefaults()
	}
	for _, p := range pools {
		t.Pools[p.Name] = p.withDefaults()
	}
	for _, r := range t.Routes {
		t.matcher = append(t.matcher, r)
	}
	sort.Slice(t.matcher, func(i, j int) bool { return moreSpecific(&t.matcher[i], &t.matcher[j]) })
	return t
}

// WithPools returns tables with the given pools in place of those of t. The
// routes and their matching order are shared.
func (t *Tables) WithPools(pools map[string]Pool) *Tables {
	next := *t
	next.Pools = pools
	return &next
}

// Defaults of optional fields.
const (
	// MaxRecordWindow bounds the record window, since records are kept in memory.
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

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (r Route) withDefaults() Route {
	orDefault(&r.Class, ClassNormal)
	orDefault(&r.Idempotency, IdempotentByMethod)
	orDefault(&r.Deadline, defaultDeadline)
	orDefault(&r.Target, r.Deadline)
	orDefault(&r.RecordWindow, defaultRecordWindow)
	orDefault(&r.Retry.MaxAttempts, defaultMaxAttempts)
	orDefault(&r.Retry.BudgetPercent, defaultRetryPercent)
	orDefault(&r.Hedge.BudgetPercent, defaultHedgePercent)
	return r
}

func (p Pool) withDefaults() Pool {
	orDefault(&p.ColdStart.Allowance, defaultAllowance)
	orDefault(&p.ColdStart.Answers, defaultColdAnswers)
	orDefault(&p.Measuring.BudgetPercent, defaultBudgetPercent)
	orDefault(&p.Measuring.ProbeCost, defaultProbeCost)
	return p
}
