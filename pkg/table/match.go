package table

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// Find returns the most specific route that matches the request.
func (t *Tables) Find(r *http.Request) (Route, bool) {
	host, path := hostOnly(r.Host), PathAsSent(r)
	for i := range t.sortedRoutes {
		if t.sortedRoutes[i].Match.matches(r, host, path) {
			return t.sortedRoutes[i], true
		}
	}
	return Route{}, false
}

// IsIdempotent reports whether a request of this route with the given method may run more than once.
func (r *Route) IsIdempotent(method string) bool {
	switch r.Idempotency {
	case IdempotentAlways:
		return true
	case IdempotentNever:
		return false
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// PoolNames returns the names of all pools that the route refers to.
func (r *Route) PoolNames() []string {
	if len(r.Split) == 0 {
		return []string{r.Pool}
	}
	names := make([]string, len(r.Split))
	for i, s := range r.Split {
		names[i] = s.Pool
	}
	return names
}

// PickPool returns the pool for one request. point must be drawn uniformly from
// [0, 1) for each request, so that the split follows the weights regardless of the
// mix of requests.
func (r *Route) PickPool(point float64) string {
	if len(r.Split) == 0 {
		return r.Pool
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * total
	last := ""
	for _, s := range r.Split {
		if s.Weight <= 0 {
			continue
		}
		if remaining < s.Weight {
			return s.Pool
		}
		remaining -= s.Weight
		last = s.Pool
	}
	return last
}

// Permits reports whether requests of this route may be served in the region.
func (r *Route) Permits(region string) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// PathAsSent returns the path of a request as its caller sent it, encoded and not normalized.
func PathAsSent(r *http.Request) string {
	target, _, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(target, "/") {
		return target
	}
	if _, rest, ok := strings.Cut(target, "://"); ok { // absolute form
		if _, path, ok := strings.Cut(rest, "/"); ok {
			return "/" + path
		}
		return "/"
	}
	return r.URL.EscapedPath()
}

func (m *Match) matches(r *http.Request, host, path string) bool {
	if len(m.Hosts) > 0 && !slices.ContainsFunc(m.Hosts, func(h string) bool { return hostMatches(h, host) }) {
		return false
	}
	if !pathHasPrefix(path, m.PathPrefix) {
		return false
	}
	if len(m.Methods) > 0 && !slices.Contains(m.Methods, r.Method) {
		return false
	}
	for name, value := range m.Headers {
		if r.Header.Get(name) != value {
			return false
		}
	}
	return true
}

func hostOnly(hostport string) string {
	if h, _, err := net.SplitHostPort(hostport); err == nil {
		hostport = h
	}
	return strings.ToLower(strings.TrimSuffix(hostport, "."))
}

func hostMatches(pattern, host string) bool {
	pattern = strings.ToLower(pattern)
	if suffix, ok := strings.CutPrefix(pattern, "*"); ok {
		label, found := strings.CutSuffix(host, suffix)
		return found && label != "" && !strings.Contains(label, ".")
	}
	return pattern == host
}

func pathHasPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" && (prefix == "" || prefix[len(prefix)-1] != '/') || rest != "" && rest[0] == '/')
}

// isMoreSpecific reports whether a is matched before b: longer path prefix first, then
// exact hosts, then more conditions. The name makes the order total.
func isMoreSpecific(a, b *Route) bool {
	if la, lb := len(strings.TrimSuffix(a.Match.PathPrefix, "/")), len(strings.TrimSuffix(b.Match.PathPrefix, "/")); la != lb {
		return la > lb
	}
	if ha, hb := hostRank(a.Match.Hosts), hostRank(b.Match.Hosts); ha != hb {
		return ha > hb
	}
	ca := len(a.Match.Headers) + min(1, len(a.Match.Methods))
	cb := len(b.Match.Headers) + min(1, len(b.Match.Methods))
	if ca != cb {
		return ca > cb
	}
	return a.Name < b.Name
}

func hostRank(hosts []string) int {
	if len(hosts) == 0 {
		return 0
	}
	for _, h := range hosts {
		if strings.HasPrefix(h, "*") {
			return 1
		}
	}
	return 2
}
