package admin

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/fault"
	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// Guards against an answer that counts as whole because the connection was reset while the question was being sent.
func TestCutAnswerOfAnAdminListener(t *testing.T) {
	const plays = 240
	headers := map[string]string{"X": strings.Repeat("x", 1_300_000)}
	for _, end := range []respchecktest.End{respchecktest.Reset, respchecktest.Unread} {
		t.Run(string(end), func(t *testing.T) {
			is := is.New(t)
			server := respchecktest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\n{\"instance\":\"e1\"}", end)
			whole := 0
			for range plays {
				_, err := FetchWhere(t.Context(), server.Address, WhereQuestion{Method: http.MethodGet, Path: "/", Headers: headers})
				if err == nil {
					whole++
					continue
				}
				is.True(fault.Is(err, fault.Unavailable))
			}
			t.Logf("%d of %d were whole", whole, plays)
			is.Equal(whole, 0)
			is.Equal(server.Requests.Load(), int64(plays))
		})
	}
}
