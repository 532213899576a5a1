package table

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"
)

// DecodeRoute decodes and validates one route row. The error lists all problems of the row.
func DecodeRoute(data []byte) (Route, error) {
	var r Route
	p, err := Decode(data, &r)
	if err != nil {
		return r, err
	}
	return r, p.Merge(r.Validate("$")).Err()
}

// DecodePool decodes and validates one pool row. The error lists all problems of the row.
func DecodePool(data []byte) (Pool, error) {
	var pool Pool
	p, err := Decode(data, &pool)
	if err != nil {
		return pool, err
	}
	return pool, p.Merge(pool.Validate("$")).Err()
}

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

const nameRemedy = "use 1 to 64 characters of a-z, 0-9, dot, dash and underscore"

// Validate returns all problems of the route; path is the JSON path of the row.
func (r *Route) Validate(path string) Problems {
	var p Problems
	if !validName.MatchString(r.Name) {
		p.Add(path+".name", fmt.Sprintf("%q is not a valid name", r.Name), nameRemedy)
	}
	if len(r.Split) == 0 && !validName.MatchString(r.Pool) {
		p.Add(path+".pool", fmt.Sprintf("%q is not a valid pool name", r.Pool), nameRemedy)
	}
	r.validateSplit(&p, path)
	checkNonNegative(&p, path+".target", float64(r.Target))
	if r.Match.PathPrefix != "" && !strings.HasPrefix(r.Match.PathPrefix, "/") {
		p.Add(path+".match.path_prefix", "does not start with a slash", `write it as "/prefix"`)
	}
	if !slices.Contains([]Class{"", ClassCritical, ClassNormal, ClassBulk}, r.Class) {
		p.Add(path+".class", fmt.Sprintf("%q is no class", r.Class), "use critical, normal or bulk")
	}
	if !slices.Contains([]Idempotency{"", IdempotentByMethod, IdempotentAlways, IdempotentNever}, r.Idempotency) {
		p.Add(path+".idempotency", fmt.Sprintf("%q is no idempotency", r.Idempotency), "use by-method, idempotent or non-idempotent")
	}
	if r.RecordRegion != "" && !r.Permits(r.RecordRegion) {
		p.Add(path+".record_region", "is not one of the home regions", "name one of home_regions")
	}
	checkNonNegative(&p, path+".deadline", float64(r.Deadline))
	checkNonNegative(&p, path+".answer_limit", float64(r.AnswerLimit))
	if r.RecordWindow > MaxRecordWindow {
		p.Add(path+".record_window", "is longer than 24h", "records are kept in memory; use at most 24h")
	}
	checkNonNegative(&p, path+".record_window", float64(r.RecordWindow))
	checkNonNegative(&p, path+".retry.max_attempts", float64(r.Retry.MaxAttempts))
	checkPercent(&p, path+".retry.budget_percent", r.Retry.BudgetPercent)
	checkPercent(&p, path+".hedge.budget_percent", r.Hedge.BudgetPercent)
	checkNonNegative(&p, path+".hedge.after", float64(r.Hedge.After))
	return p
}

func (r *Route) validateSplit(p *Problems, path string) {
	if len(r.Split) == 0 {
		return
	}
	if r.Pool != "" {
		p.Add(path+".pool", "stands beside split", "keep one of the two")
	}
	total := 0.0
	for i, s := range r.Split {
		at := fmt.Sprintf("%s.split[%d]", path, i)
		if !validName.MatchString(s.Pool) {
			p.Add(at+".pool", fmt.Sprintf("%q is not a valid pool name", s.Pool), nameRemedy)
		}
		checkNonNegative(p, at+".weight", s.Weight)
		total += s.Weight
	}
	if total <= 0 {
		p.Add(path+".split", "has no positive weight", "give at least one pool a weight above zero")
	}
}

// Validate returns all problems of the pool; path is the JSON path of the row.
func (pool *Pool) Validate(path string) Problems {
	var p Problems
	if !validName.MatchString(pool.Name) {
		p.Add(path+".name", fmt.Sprintf("%q is not a valid name", pool.Name), nameRemedy)
	}
	if pool.Slots < 1 {
		p.Add(path+".slots", "is less than 1", "give the number of concurrent requests that each upstream can run")
	}
	if pool.Connections < 1 {
		p.Add(path+".connections", "is less than 1", "give the number of connections that each upstream accepts")
	}
	checkNonNegative(&p, path+".cold_start.allowance", float64(pool.ColdStart.Allowance))
	checkNonNegative(&p, path+".cold_start.answers", float64(pool.ColdStart.Answers))
	checkPercent(&p, path+".measuring.budget_percent", pool.Measuring.BudgetPercent)
	checkNonNegative(&p, path+".measuring.probe_cost", float64(pool.Measuring.ProbeCost))
	seen := make(map[string]bool, len(pool.Upstreams))
	for i, u := range pool.Upstreams {
		at := fmt.Sprintf("%s.upstreams[%d]", path, i)
		if u.ID == "" || seen[u.ID] {
			p.Add(at+".id", fmt.Sprintf("%q is empty or not unique in the pool", u.ID), "give each upstream its own ID")
		}
		seen[u.ID] = true
		if _, _, err := net.SplitHostPort(u.Address); err != nil {
			p.Add(at+".address", fmt.Sprintf("%q is not host:port", u.Address), `write it as "10.0.0.1:8080"`)
		}
		if u.Region == "" {
			p.Add(at+".region", "is empty", "name the region of the upstream")
		}
		if u.FailureDomain == "" {
			p.Add(at+".failure_domain", "is empty", "name the failure domain of the upstream")
		}
	}
	return p
}

// CheckReferences returns a problem for each route whose pool does not exist.
func (t *Tables) CheckReferences() Problems {
	var p Problems
	for _, r := range t.sortedRoutes {
		for _, name := range r.PoolNames() {
			if _, ok := t.Pools[name]; !ok {
				p.Add(fmt.Sprintf("$.routes[%q].pool", r.Name), fmt.Sprintf("pool %q does not exist", name), "create the pool or name an existing one")
			}
		}
	}
	return p
}

func checkNonNegative(p *Problems, path string, v float64) {
	if v < 0 {
		p.Add(path, "is negative", "use zero for the default or a positive value")
	}
}

func checkPercent(p *Problems, path string, v float64) {
	if v < 0 || v > 100 {
		p.Add(path, "is not between 0 and 100", "give a percentage")
	}
}
