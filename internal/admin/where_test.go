package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/fault"
)

// Guards against questions that do not become the request that they describe, and against a key that the answer to a wrong
// question repeats.
func TestWhere(t *testing.T) {
	is := is.New(t)
	const key = "secret-key"
	s := New(settings.Admin{}, func() bool { return true }, func() any { return nil })
	var got *http.Request
	s.Where(func(q WhereQuestion, r *http.Request) WhereAnswer {
		got = r
		return WhereAnswer{Instance: "e1", Route: "r"}
	})
	server := httptest.NewServer(s)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	a, err := FetchWhere(t.Context(), address, WhereQuestion{Method: "PUT", Host: "shop", Path: "/a%2Fb?c=d", Headers: map[string]string{"x-kind": "k"}, Key: key})
	is.NoErr(err)
	is.Equal(a.Route, "r")
	is.Equal(got.Method+" "+got.Host+" "+got.URL.EscapedPath()+"?"+got.URL.RawQuery, "PUT shop /a%2Fb?c=d")
	is.Equal(got.Header.Get("X-Kind"), "k")
	is.Equal(got.Header.Get("Authorization"), "Bearer "+key)

	for _, q := range []WhereQuestion{{Method: "GET", Path: "", Key: key}, {Method: "G T", Path: "/", Key: key}, {Method: "GET", Path: "http://h/", Key: key}} {
		_, err := FetchWhere(t.Context(), address, q)
		is.True(fault.Is(err, fault.Invalid))
		is.True(!strings.Contains(err.Error(), key))
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("POST", "/where", strings.NewReader(`{"key":"`+key+`","method":7}`)))
	is.Equal(w.Code, http.StatusBadRequest)
	is.True(!strings.Contains(w.Body.String(), key))

	without := httptest.NewServer(New(settings.Admin{}, func() bool { return true }, func() any { return nil }))
	defer without.Close()
	_, err = FetchWhere(t.Context(), strings.TrimPrefix(without.URL, "http://"), WhereQuestion{Method: "GET", Path: "/"})
	is.True(fault.Is(err, fault.NotFound))
}
