package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/internal/standin"
)

// Guards against an entry that serves no request, or drops the method, path, depth or request ID.
func TestServesARequest(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, testRoute(), []string{serveUpstream(t, standin.NewUpstream(standin.UpstreamConfig{ID: "a", Slots: 4}))})
	r := h.do("GET", "/x/y", nil, HeaderRequestID, "r-1", HeaderDepth, "2")
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	for _, part := range []string{`"path":"/x/y"`, `"request":"r-1"`, `"depth":"3"`, `"method":"GET"`} {
		is.True(strings.Contains(r.body, part)) // the upstream received the value
	}
	is.Equal(r.header.Get(HeaderRequestID), "r-1")
	is.Equal(r.header.Get(HeaderLoad), "") // the load report is not forwarded to callers
	is.Equal(r.header.Get("Via"), "1.1 turmericsail")
}
