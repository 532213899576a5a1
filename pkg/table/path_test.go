package table

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// requestFor parses a request with the given target, as a server does.
func requestFor(t testing.TB, target string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a route that takes requests whose path, as the caller sent it, does not begin with its prefix. The platform's
// page on requests: "the route selected is the one with the longest path_prefix that begins the path".
func TestPrefixIsComparedWithThePathAsSent(t *testing.T) {
	tables := NewTables(1, []Route{
		{Name: "all", Pool: "a", Match: Match{PathPrefix: "/"}},
		{Name: "assign", Pool: "a", Match: Match{PathPrefix: "/assign/"}},
		{Name: "express", Pool: "a", Match: Match{PathPrefix: "/assign/express/"}},
		{Name: "encoded", Pool: "a", Match: Match{PathPrefix: "/a%2fb/"}},
	}, nil)
	for _, c := range []struct{ target, want, source string }{
		{"/assign/express/7", "express", "the page"},
		{"/assign/express%2F7", "assign", "RFC 3986, 2.2: a reserved character and its encoding are not equivalent"},
		{"/assign/express%2f7", "assign", "as above"},
		{"/assign%2Fexpress/7", "all", "as above"},
		{"/assign/express", "assign", "the page: a prefix ends with a slash"},
		{"/assign", "all", "as above"},
		{"/assign/./express/7", "assign", "the page: the path is forwarded unchanged, so its dots are not removed (RFC 3986, 5.2.4 is for references)"},
		{"/assign/../assign/express/7", "assign", "as above"},
		{"/x/../assign/7", "all", "as above"},
		{"/assign/%2e%2e/express/7", "assign", "as above"},
		{"//assign/7", "all", "RFC 3986, 3.3: an empty segment is a segment"},
		{"/assign//express/7", "assign", "as above"},
		{"/assign/express//7", "express", "as above"},
		{"/%61ssign/7", "all", "the page: the path that was sent does not begin with the prefix"},
		{"/a%2fb/7", "encoded", "the page"},
		{"/a%2Fb/7", "all", "the page; RFC 3986, 6.2.2.1 lets normalizers treat both as equal, and the path is not normalized"},
		{"/a/b/7", "all", "RFC 3986, 2.2"},
		{"/assign/express/?x=/assign/", "express", "RFC 9110, 4.2.3: the query is not part of the path"},
		{"/x?/assign/express/", "all", "as above"},
		{"http://x/assign/express%2F7", "assign", "RFC 9112, 3.2.2: absolute form"},
		{"http://x", "all", "as above; RFC 9110, 4.2.3: an empty path is equal to a slash"},
	} {
		t.Run(c.target, func(t *testing.T) {
			is := is.New(t)
			r, ok := tables.Find(requestFor(t, c.target))
			is.True(ok)
			is.Equal(r.Name, c.want)
		})
	}
}

// FuzzFind compares the chosen route with an independent reading: the longest prefix that begins the bytes between the method
// and the query.
func FuzzFind(f *testing.F) {
	prefixes := []string{"/", "/a/", "/a/b/", "/a%2Fb/", "/a//", "/a/../", "/%61/"}
	var routes []Route
	for _, p := range prefixes {
		routes = append(routes, Route{Name: p, Pool: "a", Match: Match{PathPrefix: p}})
	}
	tables := NewTables(1, routes, nil)
	for _, target := range []string{"/a/b/c", "/a%2Fb/c", "/a//b", "/a/../c", "/%61/", "/a?/a/b/", "/a/b%2F"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if !strings.HasPrefix(target, "/") {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")))
		if err != nil || r.RequestURI != target {
			return
		}
		path, want := strings.SplitN(target, "?", 2)[0], ""
		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(want) {
				want = p
			}
		}
		if got, _ := tables.Find(r); got.Name != want {
			t.Errorf("%q goes to %q, not to %q", target, got.Name, want)
		}
	})
}
