package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/admin"
	"github.com/turmericsail/turmericsail/internal/settings"
	"github.com/turmericsail/turmericsail/pkg/placement/sampled"
	"github.com/turmericsail/turmericsail/pkg/table"
)

// Guards against a text or JSON form without the facts of the answer, against a key in the output, and against other exit
// codes than the documented ones.
func TestWhere(t *testing.T) {
	is := is.New(t)
	const key = "secret-key"
	percent, left := 5.0, 1.5
	s := admin.New(settings.Admin{}, func() bool { return true }, func() any { return nil })
	s.Where(func(q admin.WhereQuestion, r *http.Request) admin.WhereAnswer {
		if r.Header.Get("Authorization") != "Bearer "+key || r.Header.Get("Kind") != "k" || r.Host != "h" {
			t.Error("the request is another one")
		}
		return admin.WhereAnswer{Instance: "e1", Region: "north", FailureDomain: "n1", Route: "all", Pools: []admin.WherePool{{
			Name: "p", Share: 0.75, Hedge: &admin.WhereHedge{After: table.Duration(120 * time.Millisecond), Percent: &percent, Left: &left},
			Explanation: sampled.Explanation{Upstreams: []sampled.UpstreamExplanation{
				{ID: "u1", Usable: true, Reason: "has room", Reading: &sampled.ReadingExplanation{Running: 1, Slots: 4, Slowdown: 1}}, {ID: "u2", Reason: "full"},
			}},
		}}}
	})
	server := httptest.NewServer(s)
	defer server.Close()
	args := []string{"where", "/x", "--admin", strings.TrimPrefix(server.URL, "http://"), "--host", "h", "--header", "Kind: k", "--key-file", writeTestFile(t, key+"\n")}
	text := runCLI(t, args...)
	is.Equal(text.code, ExitOK)
	for _, part := range []string{"p (75% of the route's requests)", "after 120ms, limit 5%, 1.50 left", "1+0/4", "has room", "full"} {
		is.True(strings.Contains(text.out, part))
	}
	data := runCLI(t, append(args, "-o", "json")...)
	is.True(strings.Contains(data.out, `"reason": "has room"`))
	is.True(!strings.Contains(text.out+data.out+text.errors, key))
	is.Equal(runCLI(t, "where", "x", "--admin", strings.TrimPrefix(server.URL, "http://")).code, ExitInvalid)
	is.Equal(runCLI(t, "where", "/x", "--admin", "127.0.0.1:1").code, ExitUnavailable)
	is.Equal(runCLI(t, "where", "/x", "--header", "none").code, ExitInvalid)
	is.Equal(runCLI(t, "where").code, ExitInvalid)
}
