package load

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/turmericsail/turmericsail/pkg/respcheck/respchecktest"
)

// Guards against a response that the target cut short and that counts as a success.
func TestCutResponseIsAFailure(t *testing.T) {
	const plays = 240
	for _, end := range []respchecktest.End{respchecktest.Reset, respchecktest.Unread} {
		t.Run(string(end), func(t *testing.T) {
			is := is.New(t)
			server, result := respchecktest.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", end), NewRecorder()
			is.NoErr(Run(t.Context(), Config{
				Targets: []string{"http://" + server.Address}, Method: "POST", Body: []byte(strings.Repeat("x", 1_300_000)),
				Rate: 1000, Requests: plays, Timeout: 10 * time.Second, MaxInFlight: plays,
			}, result))
			s := result.Summary()
			t.Logf("%d of %d succeeded", s.Succeeded, plays)
			is.Equal(s.Succeeded, uint64(0))
			is.Equal(server.Requests.Load(), int64(plays))
		})
	}
}
