package table

import (
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against a route that matches requests of a route with a longer prefix, or a path that shares
// only part of a segment with its prefix.
func TestFindPrefersTheMostSpecificRoute(t *testing.T) {
	tables := NewTables(1, []Route{
		{Name: "all", Pool: "a", Match: Match{PathPrefix: "/"}},
		{Name: "roster", Pool: "a", Match: Match{PathPrefix: "/roster"}},
		{Name: "roster-host", Pool: "a", Match: Match{PathPrefix: "/roster", Hosts: []string{"*.example.org"}}},
		{Name: "roster-post", Pool: "a", Match: Match{PathPrefix: "/roster", Methods: []string{"POST"}}},
	}, nil)
	for _, c := range []struct{ method, url, want string }{
		{"GET", "http://x/roster/7", "roster"},
		{"GET", "http://x/rosters", "all"},
		{"POST", "http://x/roster", "roster-post"},
		{"GET", "http://a.example.org:80/roster", "roster-host"},
		{"GET", "http://a.b.example.org/roster", "roster"},
	} {
		t.Run(c.method+" "+c.url, func(t *testing.T) {
			is := is.New(t)
			r, ok := tables.Find(httptest.NewRequest(c.method, c.url, nil))
			is.True(ok)
			is.Equal(r.Name, c.want)
		})
	}
}

// Guards against accepting a record window with which every request with an identity would be refused.
func TestRecordWindowIsBounded(t *testing.T) {
	is := is.New(t)
	_, err := DecodeRoute([]byte(`{"name":"a","pool":"p","record_window":"25h"}`))
	is.Equal(ProblemsOf(err)[0].Path, "$.record_window")
	_, err = DecodeRoute([]byte(`{"name":"a","pool":"p","record_window":"24h"}`))
	is.NoErr(err)
}

// Guards against brokers forwarding a request back and forth because every upstream is
// excluded. In one run, six such requests caused 145 KB of messages.
func TestAnyEligible(t *testing.T) {
	pool := Pool{Name: "p", UpstreamsOut: []string{"c"}, Upstreams: []Upstream{
		{ID: "a", Region: "north"}, {ID: "b", Region: "south"}, {ID: "c", Region: "north"},
	}}
	for _, c := range []struct {
		name    string
		home    []string
		exclude []string
		want    bool
	}{
		{"none excluded", nil, nil, true},
		{"one left", nil, []string{"a"}, true},
		{"only one that is out is left", nil, []string{"a", "b"}, false},
		{"only one outside the home regions is left", []string{"north"}, []string{"a"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(pool.AnyEligible(&Route{HomeRegions: c.home}, c.exclude), c.want)
		})
	}
}
