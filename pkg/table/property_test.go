package table

import (
	"encoding/json"
	"flag"
	"net/http/httptest"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed so that CI repeats the same cases; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261") }

var (
	names     = rapid.StringMatching(`[a-z0-9]([a-z0-9._-]{0,8}[a-z0-9])?`)
	prefixes  = rapid.SampledFrom([]string{"", "/", "/a", "/a/", "/a/b", "/b"})
	hosts     = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x.org", "*.x.org", "y.org"}), 0, 2, rapid.ID[string])
	durations = rapid.Custom(func(t *rapid.T) Duration { return Duration(rapid.Int64Range(0, 1e13).Draw(t, "ns")) })
)

func drawRoute(t *rapid.T) Route {
	r := Route{
		Name: names.Draw(t, "name"), Pool: names.Draw(t, "pool"),
		Match:       Match{PathPrefix: prefixes.Draw(t, "prefix"), Hosts: nilIfEmpty(hosts.Draw(t, "hosts"))},
		Class:       rapid.SampledFrom([]Class{"", ClassCritical, ClassNormal, ClassBulk}).Draw(t, "class"),
		Deadline:    durations.Draw(t, "deadline"),
		Retry:       Retry{MaxAttempts: rapid.IntRange(0, 9).Draw(t, "attempts"), BudgetPercent: rapid.Float64Range(0, 100).Draw(t, "percent")},
		MaxBody:     Size(rapid.Int64Range(0, 1<<50).Draw(t, "body")),
		HomeRegions: nilIfEmpty(rapid.SliceOfN(names, 0, 3).Draw(t, "regions")),
	}
	if rapid.Bool().Draw(t, "conditions") {
		r.Match.Methods = []string{"POST"}
		r.Match.Headers = map[string]string{"X-A": rapid.String().Draw(t, "value")}
	}
	return r
}

func nilIfEmpty(s []string) []string {
	if len(s) == 0 {
		return nil
	}
	return s
}

// Guards against an edit that changes fields which the operator did not touch.
func TestRouteRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRoute(t)
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		back, err := DecodeRoute(data)
		if err != nil || !reflect.DeepEqual(r, back) {
			t.Fatalf("%s came back as %+v: %v", data, back, err)
		}
	})
}

// Guards against instances that choose different routes because they received the rows in a different order.
func TestFindIsIndependentOfRowOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfNDistinct(rapid.Custom(drawRoute), 1, 8, func(r Route) string { return r.Name }).Draw(t, "routes")
		shuffled := rapid.Permutation(routes).Draw(t, "shuffled")
		a, b := NewTables(1, routes, nil), NewTables(1, shuffled, nil)
		for range 8 {
			method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
			host := rapid.SampledFrom([]string{"x.org", "a.x.org", "y.org", "z"}).Draw(t, "host")
			path := rapid.SampledFrom([]string{"/", "/a", "/a/b/c", "/ab", "/b"}).Draw(t, "path")
			request := httptest.NewRequest(method, "http://"+host+path, nil)
			ra, oka := a.Find(request)
			rb, okb := b.Find(request)
			if oka != okb || ra.Name != rb.Name {
				t.Fatalf("%s %s%s: %q in one order, %q in the other", method, host, path, ra.Name, rb.Name)
			}
		}
	})
}
